package lab_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/soak"
)

// soakSpan is the length of the faults of a run in CI.
const soakSpan = 6 * time.Second

// Seeds that failed once stay here, with their cause.
var _ = DescribeTable("the soak keeps every promise",
	func(seed int64) {
		s := &soak.Soak{Binary: binary, Dir: GinkgoT().TempDir(), Seed: seed, Span: soakSpan}
		r, err := s.Run()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Served).To(BeNumerically(">", 0))
		Expect(r.Violations).To(BeEmpty(), "faults: %v", r.Faults)
	},
	Entry("first seed", int64(1)),
)
