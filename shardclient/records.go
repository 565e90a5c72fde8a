package shardclient

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
)

// Records stores idempotency records at the leaseholders of their shards.
type Records struct {
	Locator *Locator
	Clock   clock.Clock
}

const (
	beginTimeout  = 2 * clock.Second
	finishTimeout = 1 * clock.Second
)

// Begin records the start of a request. It returns the verdict, which decides whether
// the request may run, and the record on which the verdict depends. If the reply is
// lost and no later call succeeds, the refusal is LeaseholderUnavailable. The start
// may be recorded then, so a request with the same key gets the verdict Running
// or OutcomeUnknown.
func (r *Records) Begin(x idempotency.Record) (idempotency.Verdict, idempotency.Record, *refusal.Refusal) {
	s := placement.IdempotencyShard(x.Key.Account, x.Key.Key)
	a := &leaseholder.BeginArgs{Shard: s, Record: x}
	uncertain := false
	lost := func(string) { uncertain = true }
	p, f := r.Locator.callLeaseholder(s, "Keeper.Begin", a, func() reply { return &leaseholder.BeginReply{} }, beginTimeout, lost)
	if f != nil {
		return "", idempotency.Record{}, f
	}
	b := p.(*leaseholder.BeginReply)
	sameRequest := b.Record.Host == x.Host && b.Record.Incarnation == x.Incarnation && b.Record.Attempt == x.Attempt
	if b.Verdict == idempotency.Running && uncertain && sameRequest {
		// An earlier call for the same request recorded the start.
		return idempotency.Run, b.Record, nil
	}
	return b.Verdict, b.Record, nil
}

// Finish records how a request ended. It does not report a failure.
func (r *Records) Finish(k idempotency.Key, state idempotency.State, ans idempotency.Response, notRun bool) {
	s := placement.IdempotencyShard(k.Account, k.Key)
	a := &leaseholder.FinishArgs{Shard: s, Key: k, State: state, Answer: ans, NotRun: notRun}
	// If no leaseholder replies, the record changes to Unknown once the time in its
	// field Running is over.
	_, _ = r.Locator.callLeaseholder(s, "Keeper.Finish", a, func() reply { return &leaseholder.FinishReply{} }, finishTimeout, nil)
}
