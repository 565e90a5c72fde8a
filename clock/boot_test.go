package clock

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Boot", func() {
	It("never goes backwards", func() {
		c := Boot()
		a := c.Now()
		Expect(a).To(BeNumerically(">", 0))
		Expect(c.Now()).To(BeNumerically(">=", a))
	})
})
