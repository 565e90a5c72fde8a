package journal

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Journal is a bounded list of events: a new event replaces the oldest if the
// list is full. It is safe for concurrent use.
type Journal struct {
	// Size is the maximum number of events, at least 1.
	Size int
	// Log receives every event.
	Log *zap.Logger

	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event once the list is full.
	next int
}

// Add records an event with the current time and logs it.
func (j *Journal) Add(e Event) {
	e.Time = time.Now().UTC().Format(time.RFC3339Nano)
	j.mu.Lock()
	if len(j.events) < j.Size {
		j.events = append(j.events, e)
	} else {
		j.events[j.next] = e
		j.next = (j.next + 1) % j.Size
	}
	j.mu.Unlock()
	j.Log.Info(string(e.Kind), zap.String("subject", e.Subject), zap.String("cause", e.Cause), zap.String("evidence", e.Evidence))
}

// Find returns the events whose subject contains the given text, oldest first.
func (j *Journal) Find(subject string) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := []Event{}
	for i := range j.events {
		e := j.events[(j.next+i)%len(j.events)]
		if strings.Contains(e.Subject, subject) {
			l = append(l, e)
		}
	}
	return l
}
