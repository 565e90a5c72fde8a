package shardclient

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
)

// Records asks the keepers of idempotency keys.
type Records struct {
	Locator *Locator
	Clock   clock.Clock
}

const (
	beginTimeout  = 2 * clock.Second
	finishTimeout = 1 * clock.Second
)

// Begin records the start of a request and returns whether it may run. A
// start whose answer was lost counts as started: the refusal then is
// LeaseholderUnavailable, and a repetition finds the request running or unknown.
func (r *Records) Begin(x idempotency.Record) (idempotency.Verdict, idempotency.Record, *refusal.Refusal) {
	s := placement.IdempotencyShard(x.Key.Account, x.Key.Key)
	a := &leaseholder.BeginArgs{Shard: s, Record: x}
	uncertain := false
	lost := func(string) { uncertain = true }
	p, f := r.Locator.ask(s, "Keeper.Begin", a, func() reply { return &leaseholder.BeginReply{} }, beginTimeout, lost)
	if f != nil {
		return "", idempotency.Record{}, f
	}
	b := p.(*leaseholder.BeginReply)
	own := b.Record.Host == x.Host && b.Record.Incarnation == x.Incarnation && b.Record.Attempt == x.Attempt
	if b.Verdict == idempotency.Running && uncertain && own {
		// The earlier call of this very request recorded the start.
		return idempotency.Run, b.Record, nil
	}
	return b.Verdict, b.Record, nil
}

// Finish records how a request ended. It tries for a while: without it the
// request counts as unknown.
func (r *Records) Finish(k idempotency.Key, state idempotency.State, ans idempotency.Response, notRun bool) {
	s := placement.IdempotencyShard(k.Account, k.Key)
	a := &leaseholder.FinishArgs{Shard: s, Key: k, State: state, Answer: ans, NotRun: notRun}
	// Without an answer from the keeper the record turns unknown in time.
	_, _ = r.Locator.ask(s, "Keeper.Finish", a, func() reply { return &leaseholder.FinishReply{} }, finishTimeout, nil)
}
