package poison

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Detector", func() {
	It("suspects no request because of a malformed message", func() {
		d := &Detector{}
		d.Run()
		d.Receive(nil)
		d.Receive([]byte{1, 2, 3})
		Expect(d.Suspects()).To(BeFalse())
	})
})
