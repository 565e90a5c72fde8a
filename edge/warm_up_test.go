package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

// Guards against a time that overflows, so that a cold target counts as warm.
var _ = DescribeTable("the warm-up that a target announces",
	func(text string, want int) { Expect(parseWarmUp(text)).To(Equal(clock.Millis(want))) },
	Entry("is read in milliseconds", "1500", 1500),
	Entry("is bounded", "9223372036854775807", int(maxWarmUp)),
	Entry("is left out if it is negative", "-5", 0),
	Entry("is left out if it is no number", "1e3", 0),
	Entry("is left out if no type holds it", "99999999999999999999", 0),
	Entry("may be missing", "", 0),
)
