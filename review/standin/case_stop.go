package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// stopCase stops one frontend machine. Clients that keep a response of the
// directory for three times its ttlS go on using the machine meanwhile. The rule
// is broken if the machine passes a request on and ends its connection without a
// complete answer, before the time limit of the request and the timeout of its
// route.
func stopCase(r *run) (bool, error) {
	const (
		limit = 4 * time.Second
		// slow is the time that each request takes at its instance.
		slow = "/file/2500"
	)
	routes := []route{{"/file/", "unsafe", limit, map[string]int{"alpha": 1}}}
	w, err := newWorld(r, 8, map[string]int{"alpha": 3}, routes)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	stopped := r.fleet.fronts[0]
	c := w.clients[stopped.zone]
	list, ttl, err := c.ask(stopped)
	if err != nil {
		return false, err
	}
	r.note("the directory names %v for %v; these clients keep that for %v", list, ttl, 3*ttl)
	at := time.Now()
	if r.trouble {
		if err := r.fleet.signal(stopped, syscall.SIGTERM); err != nil {
			return false, err
		}
		// The infrastructure ends the process at the end of the grace period.
		go func() {
			select {
			case <-stopped.ended:
			case <-time.After(grace):
				_ = r.fleet.signal(stopped, syscall.SIGKILL)
			}
		}()
	}
	var mu sync.Mutex
	var answers []answer
	var wait sync.WaitGroup
	for _, after := range []time.Duration{3400, 3600, 3800, 4000} {
		wait.Go(func() {
			time.Sleep(time.Until(at.Add(after * time.Millisecond)))
			a := c.send(r.fleet.callers(stopped), http.MethodPost, slow, limit)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	wait.Wait()
	began := map[string]time.Time{}
	for _, a := range w.servers.runs(at) {
		began[a.attempt] = a.at
	}
	n := 0
	for _, a := range answers {
		b, ran := began[a.attempt]
		lost := ran && a.status == 0 && a.took < limit-margin/2
		r.note("request %s sent %v after the signal: ran %v, status %d after %v, %v, lost %v",
			a.attempt, a.sent.Sub(at).Round(time.Millisecond), ran, a.status, a.took.Round(time.Millisecond), a.err, lost)
		if lost {
			r.printf("it began at its instance %v after the signal", b.Sub(at).Round(time.Millisecond))
			n++
		}
	}
	r.note("%d of %d requests were run and got no answer", n, len(answers))
	return n > 0, nil
}
