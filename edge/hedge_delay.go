package edge

import "github.com/carawayrack/carawayrack/clock"

const (
	// The hedge delay is at least minHedgeFactor times the average latency, since a
	// second attempt is expensive, and at most maxHedgeFactor times the average
	// latency plus maxHedgeExtra.
	minHedgeFactor = 2
	maxHedgeFactor = 4
	maxHedgeExtra  = 100 * clock.Millis(1)
	// responseReserve times the average latency is left for the response to the
	// second attempt.
	responseReserve = 1.2
	// latencyWeight is the weight of a new response in the average.
	latencyWeight = 0.1
)

// hedgeDelay returns how long the first attempt may take before a second one
// starts in parallel. Within the bounds above it leaves time for the second one
// to be answered within the objective.
func hedgeDelay(average, objective clock.Millis) clock.Millis {
	if average == 0 && objective > 0 {
		// There is no response yet, or all came within the resolution of the
		// clock.
		return objective
	}
	most := maxHedgeFactor*average + maxHedgeExtra
	if objective == 0 {
		return most
	}
	left := objective - clock.Millis(responseReserve*float64(average))
	return min(max(left, minHedgeFactor*average), most)
}

// averageLatencies holds the average latency by route, in milliseconds.
type averageLatencies map[string]float64

func (l averageLatencies) record(route string, took clock.Millis) {
	if l[route] == 0 {
		l[route] = float64(took)
	}
	l[route] += latencyWeight * (float64(took) - l[route])
}
