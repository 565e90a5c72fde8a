package coordinator

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// diskless stores nothing.
func diskless() replica.Storage {
	return replica.Storage{
		Save:         func(replica.Vote, []replica.Entry) error { return nil },
		SaveSnapshot: func(replica.Snapshot, replica.Vote, []replica.Entry) error { return nil },
	}
}

// handover is a group of control processes that exchange messages without a
// network, and may be suspended.
type handover struct {
	now       clock.Millis
	replicas  map[string]*Replica
	suspended map[string]bool
	queue     []replica.Message
}

func newHandover(ids ...string) *handover {
	h := &handover{now: 100_000, replicas: map[string]*Replica{}, suspended: map[string]bool{}}
	m := replica.Members{Voters: map[string]string{}}
	for _, id := range ids {
		m.Voters[id] = id
	}
	for _, id := range ids {
		r := &Replica{
			ID: id, Log: zap.NewNop(), Storage: diskless(), Translate: translate, Clock: clock.Clock{Read: h.time},
			Stored: replica.PersistentState{Snapshot: replica.Snapshot{Members: m}},
			Send:   h.send, LeaderChanged: func() {}, Failed: func(err error) { Expect(errors.WithStack(err)).NotTo(HaveOccurred()) },
		}
		r.start(h.now)
		h.replicas[id] = r
	}
	return h
}

func (h *handover) time() clock.Millis { return h.now }

func (h *handover) send(l []replica.Message, _ replica.Members) { h.queue = append(h.queue, l...) }

// run lets time pass.
func (h *handover) run(d clock.Millis) {
	for end := h.now + d; h.now < end; h.now += tickInterval {
		for id, r := range h.replicas {
			if !h.suspended[id] {
				r.node.Tick(h.now)
				r.afterMessage(h.now)
			}
		}
		for len(h.queue) > 0 {
			q := h.queue
			h.queue = nil
			for _, m := range q {
				if r := h.replicas[m.To]; !h.suspended[m.To] {
					r.node.Step(h.now, m)
					r.afterMessage(h.now)
				}
			}
		}
	}
}

// leader returns the leader among the processes that are not suspended.
func (h *handover) leader() *Replica {
	for id, r := range h.replicas {
		if !h.suspended[id] && r.node.Role() == replica.Leader {
			return r
		}
	}
	return nil
}

var _ = Describe("a hand-over of the leadership", func() {
	// The leader is suspended for seconds. When it wakes, requests that arrived in
	// the meantime are handled before its next tick.
	It("ends the loans of a leader that was suspended, before it has learned of the other one", func() {
		h := newHandover("a", "b", "c")
		h.run(5 * clock.Second)
		old := h.leader()
		Expect(old).NotTo(BeNil())
		b, err := catalog.Compress([]byte("1"))
		Expect(err).NotTo(HaveOccurred())
		x, err := catalog.Change{Document: b, Version: 1}.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = old.node.Propose(h.now, x)
		Expect(err).NotTo(HaveOccurred())
		h.run(1 * clock.Second)
		Expect(old.handleBorrow(h.now, BorrowArgs{Account: "x", Tokens: 1}).Tokens).To(Equal(1))
		h.suspended[old.ID] = true
		h.run(6 * clock.Second)
		Expect(h.leader()).NotTo(BeNil())
		Expect(h.leader()).NotTo(BeIdenticalTo(old))
		Expect(old.handleBorrow(h.now, BorrowArgs{Account: "x", Tokens: 10})).To(HaveField("Tokens", 0))
		Expect(h.leader().handleBorrow(h.now, BorrowArgs{Account: "x", Tokens: 1}).Tokens).To(Equal(1))
	})
})
