package edge

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawayrack/carawayrack/clock"
)

// Range, in milliseconds, and precision, in decimal digits, of latency
// histograms.
const (
	shortestLatency = 1
	longestLatency  = 60_000
	latencyDigits   = 2
)

// latencyHistograms holds the latency of requests at the host, by the kind of
// their route and whether they were answered or refused.
type latencyHistograms struct {
	mu sync.Mutex
	m  map[string]*hdrhistogram.Histogram
}

// Quantiles is the summary of a histogram, in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// record adds one request.
func (l *latencyHistograms) record(name string, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = map[string]*hdrhistogram.Histogram{}
	}
	h := l.m[name]
	if h == nil {
		h = hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)
		l.m[name] = h
	}
	// The value is within the range, so there is no error.
	_ = h.RecordValue(int64(min(max(took, shortestLatency), longestLatency)))
}

// summary returns the quantiles of each histogram for the metrics.
func (l *latencyHistograms) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := map[string]Quantiles{}
	for n, h := range l.m {
		r[n] = Quantiles{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
			P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return r
}
