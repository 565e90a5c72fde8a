package wire

import (
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	queueSize    = 256
	queueTimeout = 2 * clock.Second
)

// Queue delivers messages to one peer in order, many in one call. A full queue
// drops messages: senders must be ready to send them again.
type Queue[T any] struct {
	Client *Client
	// Method takes a slice of T and replies Nothing.
	Method string
	// Linger is the time for which messages are gathered into one call.
	Linger clock.Millis

	messages chan T
}

// Run starts delivery in the background.
func (q *Queue[T]) Run() {
	q.messages = make(chan T, queueSize)
	go q.loop()
}

// Offer queues a message without waiting.
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
		// A lost message is sent again by whoever needs an answer.
		_ = q.Client.Call(q.Method, batch, &Nothing{}, queueTimeout)
	}
}
