package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	drills["poison"] = playPoison
	drills["abuse"] = playAbuse
}

const (
	poisonPath = "/book/bad"
	// poisonEvery is the time between two sendings of the poison request.
	poisonEvery = 1 * time.Second
	// rollGap is the time between the stops of two entry hosts: that of roll_term in the
	// site file.
	rollGap = 2 * time.Second
	// rollAfter is the time from the third crash to the first stop, poisonFor that to the
	// end of the case.
	rollAfter = 5 * time.Second
	poisonFor = 65 * time.Second
	// poisonRolls is how often all entry hosts are stopped in turn.
	poisonRolls = 2
)

// poisoning holds what the instances and the client have seen of the poison request.
type poisoning struct {
	world *world

	mu sync.Mutex
	// inTouch tells for each sending whether its entry host was in touch.
	inTouch map[string]bool
	crashes int
	third   time.Time
	// late counts the sendings that ran later than contact after the third crash, by
	// entry hosts in touch.
	late map[string]bool
}

// ran records that an instance runs a request.
func (p *poisoning) ran(_ *instance, r *http.Request, crash bool) {
	if !crash {
		return
	}
	id := r.Header.Get("Attempt-Id")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes++
	if p.crashes == 3 {
		p.third = time.Now()
	}
	counts := p.crashes > 3 && time.Since(p.third) > contact && p.inTouch[id]
	if counts {
		p.late[id] = true
	}
	p.world.rec.line("crash %d, by %s, counted as a late retry: %v", p.crashes, id, counts)
}

// thirdCrash returns the time of the third crash, the zero time before.
func (p *poisoning) thirdCrash() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.third
}

// send sends the poison request to an entry host.
func (p *poisoning) send(c *client, m *machine) {
	id := c.id()
	p.mu.Lock()
	p.inTouch[id] = m.inTouch()
	p.mu.Unlock()
	c.sendAs(id, m, http.MethodPost, poisonPath, []byte("a booking"))
}

// loop sends the poison request again and again until ctx ends, each time as often at
// once as copies tells.
func (p *poisoning) loop(ctx context.Context, c *client, copies func() int) {
	for ctx.Err() == nil {
		var l []*machine
		for range copies() {
			if m := c.lookUp(); m != nil {
				l = append(l, m)
			}
		}
		for _, m := range l {
			go p.send(c, m)
		}
		time.Sleep(poisonEvery)
	}
}

// playPoison has a request crash three instances, and then stops and starts the entry
// hosts in turn while the same request comes again.
func playPoison(w *world, trouble bool) int {
	roll := func() {
		for range poisonRolls {
			for _, m := range w.edges {
				go m.restart()
				time.Sleep(rollGap)
			}
		}
	}
	return playCrashes(w, trouble, 0, roll, func() int { return 1 })
}

// abuseCopies is how often at once an abusive client sends a request: x of retry_abuse
// in the site file, and once more.
const abuseCopies = 4

// abuseFrom is the time from the third crash to the abuse, abuseFor its length: for_s of
// retry_abuse in the site file.
const (
	abuseFrom = 8 * time.Second
	abuseFor  = 5500 * time.Millisecond
)

// abuseWork is how long the request runs before it crashes its instance: less than the
// usual work of a request of the site.
const abuseWork = 60 * time.Millisecond

// playAbuse has a request crash three instances, and then has its client send it several
// times at once.
func playAbuse(w *world, trouble bool) int {
	var abusive atomic.Bool
	copies := func() int {
		if abusive.Load() {
			return abuseCopies
		}
		return 1
	}
	abuse := func() {
		time.Sleep(abuseFrom - rollAfter)
		abusive.Store(true)
		time.Sleep(abuseFor)
		abusive.Store(false)
	}
	return playCrashes(w, trouble, abuseWork, abuse, copies)
}

// playCrashes has a request, which runs for the time work before each crash, crash three
// instances, and counts in how many retries it
// reaches instances after that. Disrupt is called some seconds after the third crash.
func playCrashes(w *world, trouble bool, work time.Duration, disrupt func(), copies func() int) int {
	p := &poisoning{world: w, inTouch: map[string]bool{}, late: map[string]bool{}}
	zones := []string{"za", "zb", "zc", "zd"}
	for k := range 12 {
		w.addEdge(zones[k%len(zones)])
	}
	prepare := func(i *instance) { i.crashPath, i.crashAfter, i.ran = poisonPath, work, p.ran }
	_, instances, err := w.deployment(3, 0, 12, []route{{"/book/", "unsafe", 1000}, {"/order/", "unsafe", 1000}}, prepare)
	if err != nil {
		w.rec.note("cannot run: %v", err)
		return cannot
	}
	for _, i := range instances {
		defer i.end()
	}
	c := &client{world: w, zones: zones}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.traffic(ctx, 50*time.Millisecond, "/order/1")
	time.Sleep(contact)
	go p.loop(ctx, c, copies)
	for end := time.Now().Add(20 * time.Second); p.thirdCrash().IsZero(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			w.rec.note("cannot run: the request has not crashed three instances")
			return cannot
		}
	}
	time.Sleep(rollAfter)
	if trouble {
		disrupt()
	}
	time.Sleep(time.Until(p.thirdCrash().Add(poisonFor)))
	stop()
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.rec.note("crashes: %d; late retries by hosts in touch that ran: %d", p.crashes, len(p.late))
	sent, ok := c.served(time.Time{}, time.Now())
	w.rec.note("all requests: %d, answered with success: %d", sent, ok)
	if len(p.late) > 3 {
		w.rec.note("BUDGET is broken: a request that crashes its instances has reached instances in %d retries", len(p.late))
		return broken
	}
	return held
}
