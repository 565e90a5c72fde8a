package edge

import (
	"math"
	"net/http"
	"strconv"
	"testing"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// FuzzDecisions takes the decisions on a request with extreme values of the
// configuration, the request, the announcement of the target and its response. None
// may panic, least of all while the view is locked, and no time may overflow.
func FuzzDecisions(f *testing.F) {
	f.Add(90, 10, int64(1500), int64(600), int64(2000), 3, int64(0), "1", 6.0)
	f.Add(math.MaxInt, 1, int64(math.MaxInt64), int64(math.MaxInt64), int64(math.MaxInt64), math.MaxInt, int64(math.MaxInt64), "1e300", 1e300)
	f.Add(math.MinInt, math.MinInt, int64(math.MinInt64), int64(math.MinInt64), int64(math.MinInt64), math.MinInt, int64(math.MinInt64), "-1", -1.0)
	f.Add(0, 0, int64(0), int64(0), int64(0), 0, int64(0), "", 0.0)
	f.Add(math.MaxInt, math.MaxInt, int64(1), int64(1), int64(1), 1, int64(1), "NaN", math.Inf(1))
	f.Fuzz(func(t *testing.T, first, second int, timeout, objective, limit int64, slots int, cold int64, retryAfter string, rate float64) {
		v := &fleetView{zone: "z", random: drawStrictly, log: zap.NewNop()}
		v.run()
		s := catalog.New(nil)
		s.Config = &catalog.Config{
			Services: []catalog.Service{{Name: "s", WarmUp: 1000, WarmUpRate: rate}},
			Routes: []catalog.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: catalog.Idempotent, Timeout: clock.Millis(timeout), Objective: clock.Millis(objective),
				Parts: []catalog.Part{{Service: "s", Weight: first}, {Service: "s", Weight: second}},
			}},
		}
		valid := s.Config.Validate() == nil
		s.Config.Index()
		s.Targets["t"] = catalog.Target{ID: "t", Service: "s", Zone: "z", Phase: catalog.Serving, Slots: slots, Cold: clock.Millis(cold), Born: 1}
		const now = clock.Millis(1_000_000)
		v.setState(now, s)
		route := &s.Config.Routes[0]
		if v.pickService(route) != "s" {
			t.Error("no service")
		}
		h := &Host{view: v, Headers: testHeaders, Clock: clock.Clock{Read: func() clock.Millis { return now }}}
		r := &http.Request{Header: http.Header{testHeaders.Deadline: {strconv.FormatInt(limit, 10)}}}
		c := &call{host: h, r: r, route: route, service: "s", start: now}
		c.setDeadline()
		if valid && c.deadline <= now {
			t.Errorf("the deadline %d is before the request", c.deadline)
		}
		c.maxQueueWait()
		c.hedgeDelay()
		c.overdueAfter()
		x, ok, _ := v.tryPick(now, &pendingPick{service: "s", start: now, deadline: now + 100}, false)
		if !ok {
			return
		}
		pause := parseRetryAfter(retryAfter)
		if pause < 0 || pause > maxPause {
			t.Errorf("a pause of %d", pause)
		}
		v.heed(now, "s", x.ID, x.Born, balance.Notice{Pause: pause})
		v.attemptDone(now, "s", x.ID, balance.Result{Outcome: balance.Shed, Cold: parseWarmUp(strconv.FormatInt(cold, 10))})
		if pause > 0 && v.wanted(now, "s", x) == nil {
			t.Error("the pause is not kept")
		}
	})
}

// drawStrictly panics for an empty range, as rand.IntN does.
func drawStrictly(n int) int {
	if n <= 0 {
		panic("draw from an empty range")
	}
	return n - 1
}
