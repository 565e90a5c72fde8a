package coordinator

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// announceTimeout bounds how long an announcement waits to be accepted. Targets
	// wait 1 s for the response.
	announceTimeout = requestTimeout
	// changeWait is the time after which the next change is proposed although the last
	// one is in progress: its leader may be lost.
	changeWait = 250 * clock.Millis(1)
	// leaderWait is how long a change waits for a leader to be known. Targets call the
	// next process at once after a refusal, all of which refuse until one leads. It
	// leaves more than half of the 1 s in which a target may reach another process.
	leaderWait      = 400 * clock.Millis(1)
	leaderRetryTime = 25 * clock.Millis(1)
)

// announcer groups announcements into changes: those that arrive while a change is in
// progress are proposed together as the next one. Its exported fields must be set
// before Run.
type announcer struct {
	// Submit proposes a change and returns once it is accepted, or its outcome is
	// unknown.
	Submit  func(catalog.Change) error
	Stopped <-chan struct{}

	mu      sync.Mutex
	waiting []*waitingAnnouncement
	// arrived holds a value if there may be waiting announcements.
	arrived chan struct{}
}

// waitingAnnouncement is an announcement whose sender waits until end.
type waitingAnnouncement struct {
	target catalog.Target
	end    time.Time
	done   chan error
}

// Run starts proposing in the background.
func (a *announcer) Run() {
	a.arrived = make(chan struct{}, 1)
	go a.loop()
}

// announce returns once the announcement is accepted. The error is Unavailable.
func (a *announcer) announce(t catalog.Target) error {
	w := &waitingAnnouncement{t, time.Now().Add(announceTimeout.Duration()), make(chan error, 1)}
	a.mu.Lock()
	a.waiting = append(a.waiting, w)
	a.mu.Unlock()
	select {
	case a.arrived <- struct{}{}:
	default:
	}
	timeout := time.NewTimer(announceTimeout.Duration())
	defer timeout.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timeout.C:
		return errors.WithStack(Unavailable{Cause: "the announcement was not accepted in time"})
	}
}

func (a *announcer) loop() {
	for {
		select {
		case <-a.Stopped:
			return
		case <-a.arrived:
		}
		b := &announcementBatch{announcer: a, waiting: a.take(), done: make(chan struct{})}
		if len(b.waiting) == 0 {
			continue
		}
		go b.run()
		select {
		case <-b.done:
		case <-time.After(changeWait.Duration()):
		}
	}
}

// take removes all waiting announcements and returns those whose senders still wait.
func (a *announcer) take() []*waitingAnnouncement {
	a.mu.Lock()
	defer a.mu.Unlock()
	var l []*waitingAnnouncement
	now := time.Now()
	for _, w := range a.waiting {
		if w.end.After(now) {
			l = append(l, w)
		}
	}
	a.waiting = nil
	return l
}

// announcementBatch is a change with the announcements that it consists of.
type announcementBatch struct {
	announcer *announcer
	waiting   []*waitingAnnouncement
	done      chan struct{}
}

func (b *announcementBatch) run() {
	defer close(b.done)
	var c catalog.Change
	for _, w := range b.waiting {
		c.Targets = append(c.Targets, w.target)
	}
	err := b.announcer.Submit(c)
	var u Unavailable
	for end := time.Now().Add(leaderWait.Duration()); errors.As(err, &u) && u.NotProposed && time.Now().Before(end); {
		time.Sleep(leaderRetryTime.Duration())
		err = b.announcer.Submit(c)
	}
	for _, w := range b.waiting {
		w.done <- err
	}
}
