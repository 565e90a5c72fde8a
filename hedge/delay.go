package hedge

import "github.com/carawayrack/carawayrack/clock"

const (
	// minResponses is the number of recent responses of a route below which its
	// quantiles are mostly chance: the 0.95-quantile of fewer is their maximum.
	minResponses = 20
	// The delay is at least minMedians and at most maxMedians times the median. A
	// second attempt takes another median, so it rarely overtakes the first one if
	// it starts earlier. The upper bound holds while more responses are slow than
	// the limit allows hedges: their quantile is then the slow time itself.
	minMedians = 1.5
	maxMedians = 3
	// responseMedians is the time left for the response to the hedge within the
	// objective, in medians.
	responseMedians = 1.25
	// minQuantile bounds the quantile from below if the limit is above one half.
	minQuantile = 0.5
)

// Times are what the recent responses of a route say about a hedge.
type Times struct {
	// Delay is how long the first attempt may take before it is hedged.
	Delay clock.Millis
	// Quantile and Median of the recent responses, and their number.
	Quantile, Median clock.Millis
	Responses        int
}

// Known reports whether there are enough responses to hedge at all.
func (t Times) Known() bool { return t.Responses >= minResponses }

// NewTimes returns the times for a route with an objective (0: none) in a service
// whose limit is a share of its requests. The delay is the quantile that this share
// of the responses exceeds, so that there are about as many slow requests as hedges.
// Without enough responses it is the objective. Quantile returns a quantile of the
// route's recent responses and their number.
func NewTimes(limit float64, objective clock.Millis, quantile func(q float64) (clock.Millis, int)) Times {
	var t Times
	t.Quantile, t.Responses = quantile(max(1-limit, minQuantile))
	t.Median, _ = quantile(minQuantile)
	if !t.Known() {
		t.Delay = objective
		return t
	}
	most := maxMedians * t.Median
	if objective > 0 {
		most = min(most, objective-medians(responseMedians, t.Median))
	}
	t.Delay = max(min(t.Quantile, most), medians(minMedians, t.Median), 1)
	return t
}

func medians(n float64, median clock.Millis) clock.Millis { return clock.Millis(n * float64(median)) }
