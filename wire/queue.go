package wire

import (
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	queueSize    = 256
	queueTimeout = 2 * clock.Second
)

// Queue sends messages to one peer in order, many in one call. Messages are lost
// if the queue is full or the call fails, so senders must be able to send them
// again.
type Queue[T any] struct {
	Client *Client
	// Method is the remote method. It takes a slice of T and its reply is Nothing.
	Method string
	// Linger is how long messages are collected for one call.
	Linger clock.Millis

	messages chan T
}

// Run starts sending in the background.
func (q *Queue[T]) Run() {
	q.messages = make(chan T, queueSize)
	go q.loop()
}

// Offer queues a message without blocking. It drops the message if the queue is
// full.
func (q *Queue[T]) Offer(m T) {
	select {
	case q.messages <- m:
	default:
	}
}

func (q *Queue[T]) loop() {
	for m := range q.messages {
		batch := []T{m}
		time.Sleep(q.Linger.Duration())
		for len(q.messages) > 0 {
			batch = append(batch, <-q.messages)
		}
		// The error is ignored: senders that need a response send again.
		_ = q.Client.Call(q.Method, batch, &Nothing{}, queueTimeout)
	}
}
