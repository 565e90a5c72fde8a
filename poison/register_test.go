package poison

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

var _ = Describe("Register", func() {
	var r *Register
	BeforeEach(func() {
		r = &Register{}
		r.Run()
	})

	// Guards against a request that crashes each target that runs it while its
	// caller sends it again and again.
	It("quarantines a request during which three targets crashed", func() {
		Expect(r.RecordCrash(0, 7, 1)).To(BeFalse())
		Expect(r.RecordCrash(1000, 7, 2)).To(BeFalse())
		Expect(r.QuarantineLeft(1000, 7)).To(BeZero())
		Expect(r.RecordCrash(2000, 7, 3)).To(BeTrue())
		Expect(r.QuarantineLeft(2000, 7)).To(Equal(minQuarantine))
		Expect(r.QuarantineLeft(2000, 8)).To(BeZero())
	})

	It("allows at most three attempts beyond crashesToQuarantine in the first two minutes", func() {
		n := 0
		for now := clock.Millis(0); now < 2*60*clock.Second; now += 100 {
			if r.QuarantineLeft(now, 7) == 0 {
				n++
				r.RecordCrash(now, 7, uint32(n))
			}
		}
		Expect(n).To(BeNumerically("<=", crashesToQuarantine+3))
	})

	It("does not quarantine a request if only one target crashes again and again: the target is the cause", func() {
		for i := clock.Millis(0); i < 10; i++ {
			Expect(r.RecordCrash(i*1000, 7, 1)).To(BeFalse())
		}
	})

	It("clears a request that got a response", func() {
		r.RecordCrash(0, 7, 1)
		r.RecordCrash(1, 7, 2)
		Expect(r.RecordResponse(7)).To(BeTrue())
		Expect(r.RecordResponse(7)).To(BeFalse())
		Expect(r.RecordCrash(2, 7, 3)).To(BeFalse())
	})

	It("is empty once its crashes have expired", func() {
		r.RecordCrash(0, 7, 1)
		r.QuarantineLeft(crashRetention-1, 8)
		Expect(r.Empty()).To(BeFalse())
		r.QuarantineLeft(crashRetention, 8)
		Expect(r.Empty()).To(BeTrue())
	})

	It("counts a crash once although several hosts report it, and drops it after crashRetention", func() {
		r.RecordCrash(0, 7, 1)
		r.RecordCrash(1, 7, 1)
		Expect(r.RecordCrash(2, 7, 2)).To(BeFalse())
		Expect(r.Empty()).To(BeFalse())
		r.RecordCrash(crashRetention+10, 9, 1)
		Expect(r.RecordResponse(7)).To(BeFalse())
		Expect(r.RecordCrash(crashRetention+11, 7, 3)).To(BeFalse())
	})
})

var _ = Describe("FingerprintOf", func() {
	It("differs when any part differs", func() {
		a := FingerprintOf("a", "POST", "h", "/p", []byte("x"))
		Expect(FingerprintOf("a", "POST", "h", "/p", []byte("x"))).To(Equal(a))
		Expect(FingerprintOf("b", "POST", "h", "/p", []byte("x"))).NotTo(Equal(a))
		Expect(FingerprintOf("a", "POST", "h", "/p", []byte("y"))).NotTo(Equal(a))
		Expect(FingerprintOf("a", "POST", "h/p", "", []byte("x"))).NotTo(Equal(a))
	})
})
