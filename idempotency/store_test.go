package idempotency

import (
	"testing"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "idempotency")
}

var _ = ginkgo.Describe("Store", func() {
	key := Key{Account: "club", Key: "k"}
	start := Record{Key: key, Fingerprint: "f", Host: "h1", Incarnation: "1", Running: 100}

	ginkgo.It("lets a request run once, and replays its response", func() {
		s := &Store{Retention: 1000}
		v, _ := s.Begin(0, start)
		Expect(v).To(Equal(Run))
		v, _ = s.Begin(1, start)
		Expect(v).To(Equal(Running))
		other := start
		other.Fingerprint = "g"
		v, _ = s.Begin(1, other)
		Expect(v).To(Equal(Reused))
		s.Finish(2, key, Done, Response{Status: 200})
		v, r := s.Begin(3, start)
		Expect(v).To(Equal(Replay))
		Expect(r.Answer.Status).To(Equal(200))
	})

	ginkgo.It("reports an unknown outcome if the host of a request died or its time to run is over", func() {
		s := &Store{Retention: 1000}
		s.Begin(0, start)
		s.MarkUnknown("h1", "1")
		v, _ := s.Begin(1, start)
		Expect(v).To(Equal(Running))
		s.MarkUnknown("h1", "2")
		v, _ = s.Begin(1, start)
		Expect(v).To(Equal(OutcomeUnknown))

		t := &Store{Retention: 1000}
		t.Begin(0, start)
		v, _ = t.Begin(100, start)
		Expect(v).To(Equal(OutcomeUnknown))
	})

	ginkgo.It("does not run requests with new keys while the group may have lost records", func() {
		s := &Store{Retention: 1000}
		s.SetUncertain(0, 500)
		v, _ := s.Begin(499, start)
		Expect(v).To(Equal(OutcomeUnknown))
		v, _ = s.Begin(500, start)
		Expect(v).To(Equal(Run))
	})

	ginkgo.It("merges records of another member and keeps the newer state", func() {
		a, b := &Store{Retention: 1000}, &Store{Retention: 1000}
		a.Begin(0, start)
		b.Merge(0, a.All(0))
		a.Finish(1, key, Done, Response{Status: 201})
		old := b.All(1)
		b.Merge(2, a.All(2))
		b.Merge(3, old)
		v, r := b.Begin(4, start)
		Expect(v).To(Equal(Replay))
		Expect(r.Answer.Status).To(Equal(201))
	})
})
