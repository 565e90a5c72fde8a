package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/shutdown"
)

// plan returns the schedule of the planned stop. It is valid once h.leaving is set.
func (h *Host) plan() shutdown.Plan {
	return shutdown.Plan{Signal: h.leavingAt, Grace: h.Settings.Grace}
}

// work returns the slowest recent response of the route of a call. An average or a
// lower quantile would leave requests that are known to take longer.
func (c *call) work(now clock.Millis) shutdown.Work {
	slowest, n := c.host.latencies.Quantile(now, c.route.Name, 1)
	return shutdown.Work{Slowest: slowest, Responses: n}
}

// stopRequest returns what the schedule of the planned stop needs of a call.
func (c *call) stopRequest(now clock.Millis) shutdown.Request {
	return shutdown.Request{
		Arrived: c.arrived, Deadline: c.deadline, Work: c.work(now),
		Large: c.route.Kind == catalog.Download,
	}
}

// endsBefore returns the refusal of a request that would be sent to a target now,
// if the process may end before it is answered, else nil. It is called when the
// request arrives, while it waits for a target, and right before each attempt is
// sent: the signal may come in between, and time passes.
func (c *call) endsBefore(now clock.Millis) *refusal {
	if !c.host.leaving.Load() {
		return nil
	}
	p, r := c.host.plan(), c.stopRequest(now)
	cause := p.Refuses(now, r)
	if cause == "" {
		return nil
	}
	c.stopCause.Store(cause)
	return &refusal{Stopping, http.StatusServiceUnavailable, 0, string(cause) + ": " + p.Explain(now, r)}
}

// cannotDeliver returns the refusal that replaces a large response if the process may end
// before the caller has read it, else nil. Callers can act on a complete failure at once.
func (c *call) cannotDeliver(a *attempt) *refusal {
	if !c.host.leaving.Load() || c.host.plan().HandsOver(c.deadline, a.length) {
		return nil
	}
	c.stopCause.Store(shutdown.Undelivered)
	cause := "a response of " + strconv.FormatInt(a.length, 10) + " bytes may not be read before the process ends"
	return &refusal{Stopping, http.StatusBadGateway, 0, string(shutdown.Undelivered) + ": " + cause}
}

// bodyReads are the calls whose bodies are being read. Once the host leaves, a body
// must arrive while there is still time to send the request.
type bodyReads struct {
	mu sync.Mutex
	m  map[*call]bool
}

// begin adds a call and bounds the time in which its body must arrive.
func (b *bodyReads) begin(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.m == nil {
		b.m = map[*call]bool{}
	}
	b.m[c] = true
	c.setReadDeadline(c.bodyDeadline())
}

func (b *bodyReads) end(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.m, c)
}

// update applies the deadlines of a leaving host to the bodies that are being read.
func (b *bodyReads) update() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.m {
		c.setReadDeadline(c.bodyDeadline())
	}
}

// bodyDeadline returns the time at which the body must have arrived.
func (c *call) bodyDeadline() clock.Millis {
	if !c.host.leaving.Load() {
		return c.deadline
	}
	// At this time itself the request may still be sent.
	return min(c.deadline, c.host.plan().BodyDeadline(c.stopRequest(c.host.Clock.Now()))+1)
}

// setReadDeadline bounds the time in which bytes of the body must arrive.
func (c *call) setReadDeadline(at clock.Millis) {
	// The error is that of a server that does not support deadlines.
	_ = http.NewResponseController(c.w).SetReadDeadline(c.netDeadline(at))
}

// Stop ends the host within its grace period. Callers use its address for some
// seconds more: those whose requests can be answered in time are served, the others
// are refused; see shutdown.Plan.
func (h *Host) Stop() {
	start := time.Now()
	h.leavingAt = h.Clock.Now()
	h.leaving.Store(true)
	h.server.Drain()
	h.bodyReads.update()
	h.control.Trigger()
	p := h.plan()
	time.Sleep(p.AcceptFor().Duration())
	x, stop := context.WithDeadline(context.Background(), start.Add(p.ExitAfter().Duration()))
	defer stop()
	if err := h.server.Stop(x); err != nil {
		h.Log.Warn("requests were still in flight at the end of the grace period", zap.Error(err))
	}
}
