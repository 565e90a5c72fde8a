package wire

import (
	"sync"

	"github.com/carawayrack/carawayrack/clock"
)

// Outbox holds one queue for each peer address. It creates queues on first use.
type Outbox[T any] struct {
	Pool   *Pool
	Method string
	// Linger is how long a queue collects messages for one call.
	Linger clock.Millis

	mu     sync.Mutex
	queues map[string]*Queue[T]
}

// Send queues a message for the peer at addr without blocking. Like Queue.Offer
// it drops the message if the queue is full.
func (o *Outbox[T]) Send(addr string, m T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queues == nil {
		o.queues = map[string]*Queue[T]{}
	}
	q := o.queues[addr]
	if q == nil {
		q = &Queue[T]{Client: o.Pool.Get(addr), Method: o.Method, Linger: o.Linger}
		q.Run()
		o.queues[addr] = q
	}
	q.Offer(m)
}
