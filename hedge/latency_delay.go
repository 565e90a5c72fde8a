package hedge

import "github.com/carawayrack/carawayrack/clock"

const (
	// The delay is at least minAverages times the average latency, since a second
	// attempt is expensive, and at most maxAverages times the average latency plus
	// MaxExtra.
	minAverages = 2
	maxAverages = 4
	// MaxExtra is the part of the longest delay that does not depend on the latency.
	MaxExtra = 100 * clock.Millis(1)
	// responseAverages times the average latency is left for the response to the
	// second attempt.
	responseAverages = 1.2
	// latencyWeight is the weight of a new response in the average.
	latencyWeight = 0.1
)

// Delay returns how long the first attempt may take before a second one starts in
// parallel, for services without a limit of hedges; see NewTimes for the others. It is
// at least twice and at most four times the average latency plus MaxExtra. Within these
// bounds it leaves time for the second attempt to be answered within the objective
// (0: none).
func Delay(average, objective clock.Millis) clock.Millis {
	if average == 0 && objective > 0 {
		// There is no response yet, or all came within the resolution of the
		// clock.
		return objective
	}
	most := maxAverages*average + MaxExtra
	if objective == 0 {
		return most
	}
	left := objective - clock.Millis(responseAverages*float64(average))
	return min(max(left, minAverages*average), most)
}

// Averages holds the moving average of the latency by route, in milliseconds. It is not
// safe for concurrent use.
type Averages map[string]float64

// Record adds a response of a route to its average. The first one is the average.
func (l Averages) Record(route string, took clock.Millis) {
	if l[route] == 0 {
		l[route] = float64(took)
	}
	l[route] += latencyWeight * (float64(took) - l[route])
}
