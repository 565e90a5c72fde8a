package poison

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

func quarantined(r *Register, now clock.Millis, f Fingerprint) bool {
	q, _ := r.Quarantined(now, f)
	return q
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
		Expect(quarantined(r, 1000, 7)).To(BeFalse())
		Expect(r.RecordCrash(2000, 7, 3)).To(BeTrue())
		q, wait := r.Quarantined(2000, 7)
		Expect(q).To(BeTrue())
		Expect(wait).To(Equal(localQuarantine))
		Expect(quarantined(r, 2000, 8)).To(BeFalse())
	})

	// Guards against copies of a request that are all sent once its quarantine has
	// ended.
	It("allows no attempt beyond crashesToQuarantine without a trial", func() {
		n := 0
		for now := clock.Millis(0); now < 30*60*clock.Second; now += 100 {
			if !quarantined(r, now, 7) {
				n++
				r.RecordCrash(now, 7, uint32(n))
			}
		}
		Expect(n).To(Equal(crashesToQuarantine))
	})

	// Guards against hosts that forget a quarantine when they restart.
	It("quarantines what the control processes list until they drop it", func() {
		l := map[uint64]catalog.Suspect{7: {Fingerprint: 7}}
		r.SetListed(0, l)
		q, wait := r.Quarantined(5, 7)
		Expect(q).To(BeTrue())
		Expect(wait).To(BeZero(), "a trial may be asked for")
		r.Hold(5, 7, 1000)
		r.SetListed(6, l)
		_, wait = r.Quarantined(105, 7)
		Expect(wait).To(Equal(clock.Millis(900)), "a further list keeps the time of the next trial")
		Expect(r.RecordResponse(7)).To(BeTrue())
		Expect(quarantined(r, 2*catalog.SuspectRetention, 7)).To(BeTrue())
		r.SetListed(106, nil)
		Expect(r.Empty()).To(BeTrue())
	})

	It("does not quarantine a request because one crash of a target is reported again and again", func() {
		for i := clock.Millis(0); i < 10; i++ {
			Expect(r.RecordCrash(i*1000, 7, 1)).To(BeFalse())
		}
	})

	crash := func(now clock.Millis, born int64, sentAt clock.Millis, refused bool) bool {
		a := Attempt{Fingerprint: 7, Target: "t", Born: born, SentAt: sentAt}
		_, q := r.RecordAttemptCrash(now, a, refused)
		return q
	}

	// Guards against a target that starts again under its ID and crashes again and again.
	It("counts the crash of each incarnation of a target", func() {
		Expect(crash(100, 1, 0, true)).To(BeFalse())
		Expect(crash(2000, 2, 1900, true)).To(BeFalse())
		Expect(crash(4000, 3, 3900, true)).To(BeTrue())
	})

	// Guards against restarts whose announcements do not arrive, while the target is cut off
	// from the control processes.
	It("counts the crash of a target that answered again after it had refused connections", func() {
		Expect(crash(100, 1, 0, true)).To(BeFalse())
		Expect(crash(110, 1, 50, true)).To(BeFalse(), "both attempts reached one incarnation")
		Expect(crash(2000, 1, 1900, true)).To(BeFalse())
		Expect(crash(4000, 1, 3900, true)).To(BeTrue())
	})

	It("counts one crash of a target that cannot be reached, however often attempts break", func() {
		for i := clock.Millis(0); i < 10; i++ {
			Expect(crash(i*1000+100, 1, i*1000, false)).To(BeFalse())
		}
	})

	It("does not quarantine a sound request that targets answer between their crashes", func() {
		for i := clock.Millis(0); i < 10; i++ {
			Expect(crash(i*1000+100, int64(i), i*1000, true)).To(BeFalse())
			Expect(r.RecordResponse(7)).To(BeTrue())
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
		quarantined(r, crashRetention-1, 8)
		Expect(r.Empty()).To(BeFalse())
		quarantined(r, crashRetention, 8)
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
