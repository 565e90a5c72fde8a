package catalog

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a roll-out", func() {
	versioned := func(id, version string, born int64) Target {
		t := target(id, born, 1)
		t.Version = version
		return t
	}
	order := func(version string, at int64) Change {
		return Change{Order: &Rollout{Service: "s", Version: version, At: at, Duration: 12_000}}
	}
	step := func(s *State, state RolloutState, share float64) Change {
		r := s.Rollouts["s"]
		r.State, r.Share, r.Step, r.Elapsed = state, share, r.Step+1, 9_000
		return Change{Step: &r}
	}
	var s *State
	apply := func(c Change) { Expect(s.Apply(c)).To(Succeed()) }
	BeforeEach(func() {
		s = New(translate)
		apply(Change{Targets: []Target{versioned("a", "v1", 10), versioned("b", "v2", 90_000)}})
	})

	// Guards against an order that is resent after its acknowledgement was lost and
	// that starts the roll-out over or is refused.
	It("is not started over by a repeated order, also after its end", func() {
		apply(order("v2", 100_000))
		first := s.Rollouts["s"]
		Expect(first.Replaced).To(Equal([]string{"v1"}))
		repeat := order("v2", 103_000)
		apply(repeat)
		Expect(s.Superseded(repeat)).To(BeFalse())
		Expect(s.Rollouts["s"]).To(Equal(first))
		apply(step(s, RolloutRolledBack, 0))
		ended := s.Rollouts["s"]
		apply(repeat)
		Expect(s.Superseded(repeat)).To(BeFalse())
		Expect(s.Rollouts["s"]).To(Equal(ended))
		apply(order("v2", 200_000))
		Expect(s.Rollouts["s"].State).To(Equal(RolloutRunning))
	})

	It("keeps out an order for another version until it has ended", func() {
		apply(order("v2", 100_000))
		apply(order("v3", 100_100))
		Expect(s.Superseded(order("v3", 100_100))).To(BeTrue())
		Expect(s.Rollouts["s"].Version).To(Equal("v2"))
		apply(step(s, RolloutCompleted, 1))
		apply(order("v3", 120_000))
		Expect(s.Superseded(order("v3", 120_000))).To(BeFalse())
		Expect(s.Rollouts["s"].Version).To(Equal("v3"))
	})

	// Guards against a step of a former leader that arrives after one of the next.
	It("skips a step that continues an earlier one, and any after its end", func() {
		apply(order("v2", 100_000))
		late := step(s, RolloutRunning, 1)
		apply(step(s, RolloutRunning, 0.2))
		apply(late)
		Expect(s.Rollouts["s"].Share).To(Equal(0.2))
		apply(step(s, RolloutRolledBack, 0))
		apply(step(s, RolloutRunning, 0.5))
		Expect(s.Rollouts["s"].State).To(Equal(RolloutRolledBack))
	})

	// Guards against requests to old targets, which stop at once.
	It("ends the targets of replaced versions when it is completed, and later announcements do not bring them back", func() {
		apply(order("v2", 100_000))
		apply(step(s, RolloutCompleted, 1))
		Expect(s.Targets["a"].Phase).To(Equal(Gone))
		Expect(s.Targets["b"].Phase).To(Equal(Serving))
		late := versioned("a", "v1", 10)
		late.Number = 9
		apply(Change{Targets: []Target{late}})
		Expect(s.Targets["a"].Phase).To(Equal(Gone))
		// A release without an order may start targets of any version afterwards.
		apply(Change{Targets: []Target{versioned("c", "v1", 200_000), versioned("d", "v3", 100_500)}})
		Expect(s.Targets["c"].Phase).To(Equal(Serving))
		Expect(s.Targets["d"].Phase).To(Equal(Serving))
	})

	It("bans the targets of its version once it is rolled back, also restarted ones", func() {
		apply(order("v2", 100_000))
		Expect(s.Rollouts["s"].Bans(s.Targets["b"])).To(BeFalse())
		apply(step(s, RolloutRolledBack, 0))
		r := s.Rollouts["s"]
		Expect(r.Bans(s.Targets["b"])).To(BeTrue())
		Expect(r.Bans(versioned("b", "v2", 110_000))).To(BeTrue())
		Expect(r.Bans(versioned("b", "v2", 500_000))).To(BeFalse())
		Expect(r.Bans(s.Targets["a"])).To(BeFalse())
	})

	// Guards against logs and snapshots of earlier releases that do not load.
	It("is in snapshots and deltas, and a state without roll-outs loads", func() {
		apply(order("v2", 100_000))
		b, err := s.Encode()
		Expect(err).NotTo(HaveOccurred())
		r, err := Decode(b, translate)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Rollouts).To(Equal(s.Rollouts))
		r, err = Decode([]byte(`{"sequence":3,"targets":{},"zonesOut":{}}`), translate)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Apply(order("v2", 1))).To(Succeed())
		Expect(r.Rollouts).To(HaveKey("s"))
	})

	It("needs the announcement of another version of the same incarnation", func() {
		t := versioned("a", "v9", 10)
		t.Number = 2
		Expect(s.NeedsChange(t)).To(BeTrue())
	})
})
