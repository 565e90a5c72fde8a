package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { drills["announce"] = playAnnounce }

const (
	// displaced of announceInstances instances get a heartbeat of another writer at their
	// address.
	announceInstances = 9
	displaced         = 6
	// announceEvery is the time between two requests, announceWork the time that each
	// takes. Nine instances with two slots each serve all of them, three do not.
	announceEvery = 13 * time.Millisecond
	announceWork  = 110 * time.Millisecond
	// announcePlay is how long requests are sent.
	announcePlay = 25 * time.Second
	// floorWindow is the window of the rule, minimumShare the share of the instances.
	floorWindow  = 2 * time.Second
	minimumShare = 0.7
)

// arrivals holds when requests reached which instances.
type arrivals struct {
	mu sync.Mutex
	at map[int][]time.Time
}

func (a *arrivals) ran(i *instance, _ *http.Request, _ bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[i.n] = append(a.at[i.n], time.Now())
}

// reached returns how many instances got requests between two times.
func (a *arrivals) reached(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, l := range a.at {
		for _, t := range l {
			if t.After(from) && t.Before(to) {
				n++
				break
			}
		}
	}
	return n
}

// otherWriter sends heartbeats of a service that does not exist at the addresses of
// instances, before the first configuration.
func (w *world) otherWriter(l []*instance) int {
	acked := 0
	for _, i := range l {
		b, _ := json.Marshal(map[string]any{
			"service": "elsewhere", "address": i.addr, "zone": "za", "version": "v1", "capacity": 2, "state": "ready",
			"warmupRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		id := fmt.Sprintf("x-%d", i.n)
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			m := w.cores[rand.IntN(len(w.cores))]
			s, _ := call(m, "instances.heartbeat", id, b)
			w.rec.line("another writer: heartbeat %s at %s to %s: %d", id, i.addr, m.name, s)
			if s == http.StatusOK {
				acked++
				break
			}
		}
	}
	return acked
}

// playAnnounce starts the whole system with its instances. Another writer's heartbeats
// arrive before the first configuration.
func playAnnounce(w *world, trouble bool) int {
	for k := range 3 {
		w.addCore(fmt.Sprintf("z%c", 'a'+k))
	}
	for range 3 {
		w.addEdge("za")
	}
	a := &arrivals{at: map[int][]time.Time{}}
	var instances []*instance
	for k := range announceInstances {
		i := w.newInstance(k + 1)
		i.capacity, i.slots, i.ran, i.work = 2, make(chan struct{}, 2), a.ran, func() time.Duration { return announceWork }
		instances = append(instances, i)
		defer i.end()
		// The instances start first. Their first heartbeats find nobody.
		if err := i.start(); err != nil {
			w.rec.note("cannot run: %v", err)
			return cannot
		}
	}
	time.Sleep(100 * time.Millisecond)
	for _, m := range append(append([]*machine(nil), w.cores...), w.edges...) {
		if err := m.start(w.cores, true); err != nil {
			w.rec.note("cannot run: %v", err)
			return cannot
		}
	}
	if trouble {
		w.rec.note("heartbeats of another writer that were acknowledged: %d", w.otherWriter(instances[:displaced]))
	}
	o := &operator{world: w}
	time.Sleep(time.Second)
	if !o.put(1, []route{{"/book/", "unsafe", 1000}}, 20*time.Second) {
		w.rec.note("cannot run: the first configuration is not accepted")
		return cannot
	}
	time.Sleep(8 * time.Second)
	c := &client{world: w}
	ctx, stop := context.WithCancel(context.Background())
	go c.traffic(ctx, announceEvery, "/book/1")
	start := time.Now()
	time.Sleep(announcePlay)
	stop()
	time.Sleep(time.Second)
	windows, below := 0, 0
	for t := start.Add(3 * time.Second); t.Add(floorWindow).Before(start.Add(announcePlay)); t = t.Add(floorWindow) {
		sent, ok := c.served(t, t.Add(floorWindow))
		n := a.reached(t, t.Add(floorWindow))
		windows++
		unserved := 1 - float64(ok)/float64(max(sent, 1))
		if n > 0 && float64(n) < minimumShare*announceInstances && unserved > 0.1 && unserved < 0.5 {
			below++
		}
		w.rec.line("2 s: %d of %d instances get requests, %d of %d requests are served", n, announceInstances, ok, sent)
	}
	sent, ok := c.served(start, time.Now())
	w.rec.note("requests: %d, served: %d; instances that got any: %d of %d", sent, ok, a.reached(start, time.Now()), announceInstances)
	if below > 0 {
		w.rec.note("FLOOR is broken in %d of %d windows of 2 s", below, windows)
		return broken
	}
	return held
}
