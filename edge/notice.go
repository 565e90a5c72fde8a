package edge

import (
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
)

// maxPause bounds the pause that a target may ask for.
const maxPause = 60 * 60 * clock.Second

// parseRetryAfter parses a Retry-After header in seconds, which may have decimals.
// Like an absent header, one that is negative or not a finite number asks for
// nothing; so does a date, which the platform does not use. More than maxPause
// counts as maxPause.
func parseRetryAfter(s string) clock.Millis {
	f, err := strconv.ParseFloat(s, 64)
	if errors.Is(err, strconv.ErrRange) && f > 0 {
		return maxPause
	}
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f <= 0 {
		return 0
	}
	f = math.Ceil(f * float64(clock.Second))
	return clock.Millis(min(f, float64(maxPause)))
}

// parseNotice returns what the head of a response says of its target.
func (h *Host) parseNotice(r *http.Response) balance.Notice {
	var n balance.Notice
	v := r.Header.Get(h.Headers.Leaving)
	n.Leaving = v != "" && v != "0"
	if r.StatusCode == http.StatusServiceUnavailable {
		n.Pause = parseRetryAfter(r.Header.Get("Retry-After"))
	}
	return n
}

// heed records what the head of a response of a target says of the target, before
// the body is read. It returns the notice.
func (h *Host) heed(service, id string, born int64, r *http.Response) balance.Notice {
	n := h.parseNotice(r)
	if n == (balance.Notice{}) {
		return n
	}
	if n.Leaving {
		h.metrics.notices.Add(service+".leaving", 1)
	}
	if n.Pause > 0 {
		h.metrics.notices.Add(service+".pause", 1)
	}
	if h.view.heed(h.Clock.Now(), service, id, born, n) {
		h.Log.Info("notice", zap.String("target", id), zap.String("service", service), zap.Bool("leaving", n.Leaving),
			zap.Int64("pauseMs", int64(n.Pause)), zap.Int("status", r.StatusCode))
	}
	return n
}

func (v *fleetView) heed(now clock.Millis, service, id string, born int64, n balance.Notice) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	// Requests that wait may have to be refused now.
	v.queue(service).Wake()
	return v.pool(service).Heed(now, id, born, n)
}

// wanted returns the reason why a request must not be sent to a target any more,
// nil if there is none.
func (v *fleetView) wanted(now clock.Millis, service string, c balance.Choice) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).Wanted(now, c.ID, c.Born)
}

// closed reports whether no target of a service accepts requests now; see
// balance.Pool.Closed.
func (v *fleetView) closed(now clock.Millis, service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, closed := v.pool(service).Closed(now)
	return closed
}

// refundRetry returns a retry to the budget that was not sent.
func (v *fleetView) refundRetry(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retryBudget(service).Refund()
}

// checkWanted is called right before the request is sent.
func (a *attempt) checkWanted() error {
	c := a.call
	now := c.host.Clock.Now()
	if x := c.endsBefore(now); x != nil {
		return x
	}
	return c.host.view.wanted(now, c.service, a.choice)
}

// turnedAway ends an attempt of which nothing was sent, because its target has said
// since it was chosen that it wants no requests.
func (a *attempt) turnedAway(cause error) (*refusal, bool) {
	c := a.call
	c.unsent.Add(1)
	if a.charged {
		c.host.refundRetry(c.service)
	}
	a.finish(balance.Cancelled)
	return &refusal{NoTarget, http.StatusServiceUnavailable, retryAfterFull, cause.Error()}, true
}
