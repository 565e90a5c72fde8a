package latency

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawayrack/carawayrack/clock"
)

// Range, in milliseconds, and precision, in decimal digits, of latency
// histograms.
const (
	shortest = 1
	longest  = 60_000
	digits   = 2
)

// Histograms holds the latency of requests at a host by name, such as the kind of
// their route and whether they were answered or refused. The zero value is empty and
// ready to use, also from several goroutines.
type Histograms struct {
	mu sync.Mutex
	m  map[string]*hdrhistogram.Histogram
}

// Quantiles is the summary of a histogram: the number of requests, and quantiles of
// their latencies in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Record adds one request. Latencies outside the range of the histograms, 1 ms to
// 60 s, count as its nearest end.
func (l *Histograms) Record(name string, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = map[string]*hdrhistogram.Histogram{}
	}
	h := l.m[name]
	if h == nil {
		h = hdrhistogram.New(shortest, longest, digits)
		l.m[name] = h
	}
	// The value is within the range, so there is no error.
	_ = h.RecordValue(int64(min(max(took, shortest), longest)))
}

// Summary returns a map from names to the Quantiles of their histograms, as
// expvar.Func needs it.
func (l *Histograms) Summary() any {
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
