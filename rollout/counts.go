// Package rollout decides how a service is moved to another version of its
// targets: it counts the responses of the versions, compares them and plans the
// next step.
package rollout

import (
	"math"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// binCount is the number of bins of a histogram of latencies. Each is larger
	// than the one before it by the factor sqrt(2), from firstBin on: 8 ms to 23 s.
	binCount = 24
	firstBin = 8
)

// bin returns the bin of a latency. Bin k holds latencies up to
// firstBin*sqrt(2)^k milliseconds.
func bin(took clock.Millis) int {
	if took <= firstBin {
		return 0
	}
	k := int(math.Ceil(2 * math.Log2(float64(took)/firstBin)))
	return min(k, binCount-1)
}

// Histogram counts latencies. Bins at its end that are zero may be missing.
type Histogram []uint32

// add counts one latency.
func (h *Histogram) add(took clock.Millis) {
	k := bin(took)
	for len(*h) <= k {
		*h = append(*h, 0)
	}
	(*h)[k]++
}

// merge adds the counts of another histogram.
func (h *Histogram) merge(o Histogram) {
	for len(*h) < min(len(o), binCount) {
		*h = append(*h, 0)
	}
	for k := range min(len(o), binCount) {
		(*h)[k] += o[k]
	}
}

// since returns the counts that h has beyond o.
func (h Histogram) since(o Histogram) Histogram {
	r := append(Histogram{}, h...)
	for k := range min(len(o), len(r)) {
		r[k] -= min(o[k], r[k])
	}
	return r
}

// from returns the number of latencies in bin k and above.
func (h Histogram) from(k int) int {
	n := 0
	for i := k; i < len(h); i++ {
		n += int(h[i])
	}
	return n
}

// median returns the bin of the median.
func (h Histogram) median() int {
	all, n := h.from(0), 0
	for k, x := range h {
		if n += int(x); 2*n >= all {
			return k
		}
	}
	return 0
}

// Key identifies what a Row counts: the requests of a route at one target of the
// new version, or at all targets of others, whose Target is 0.
type Key struct {
	Route  string
	New    bool
	Target uint32
}

// Counts are numbers of requests since the order.
type Counts struct {
	// Started counts requests sent, Served and Failed responses. Failed includes
	// connections that broke and responses that did not arrive in time.
	Started, Served, Failed uint32
	// Latency holds the latencies of the served requests. It also holds those that
	// were cancelled because another attempt was faster, with the time that they had
	// taken so far. Pending holds the ages of the requests in flight.
	Latency, Pending Histogram
}

func (c *Counts) merge(o Counts) {
	c.Started += o.Started
	c.Served += o.Served
	c.Failed += o.Failed
	c.Latency.merge(o.Latency)
	c.Pending.merge(o.Pending)
}

// since returns what c counted beyond o. Pending requests are those of c.
func (c Counts) since(o Counts) Counts {
	c.Started -= min(o.Started, c.Started)
	c.Served -= min(o.Served, c.Served)
	c.Failed -= min(o.Failed, c.Failed)
	c.Latency = c.Latency.since(o.Latency)
	return c
}

// Row is a part of a report.
type Row struct {
	Key
	Counts
}

// ServiceReport holds what a host has counted of a running roll-out.
type ServiceReport struct {
	Service string
	// Number identifies the roll-out, Revision its step that the host holds.
	Number, Revision uint64
	// OldInFlight is the number of requests in flight at targets of other versions
	// than the new one.
	OldInFlight int
	Rows        []Row
}

// HostReport holds the reports of a host. Instance changes when the host restarts.
type HostReport struct {
	Host     string
	Instance uint64
	// Leaving is true while the host drains.
	Leaving bool
	Reports []ServiceReport
}
