package command

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "command")
}

var _ = ginkgo.DescribeTable("Run", func(code int, args ...string) {
	var got []string
	p := Program{Name: "p", Commands: []Command{{Name: "do", Run: func(a []string) int { got = a; return Failed }}}}
	Expect(p.Run(args)).To(Equal(code))
	if code == Failed {
		Expect(got).To(Equal(args[1:]))
	}
},
	ginkgo.Entry("no command", Usage),
	ginkgo.Entry("unknown command", Usage, "undo"),
	ginkgo.Entry("help", OK, "-h"),
	ginkgo.Entry("version", OK, "-version"),
	ginkgo.Entry("command", Failed, "do", "it"),
)
