package edge

import "github.com/carawayrack/carawayrack/clock"

const (
	// minHedgeFactor times the usual answer is waited in any case, since a second
	// attempt is dear; longPatience times it plus patienceMin is the most.
	minHedgeFactor = 2
	maxHedgeFactor = 4
	maxHedgeExtra  = 100 * clock.Millis(1)
	// responseReserve times the usual answer is left for the second attempt.
	responseReserve = 1.2
	// latencyWeight is the weight of a new answer in the average.
	latencyWeight = 0.1
)

// hedgeDelay returns how long the first attempt may take before a second one
// starts beside it: so long that the second can still be answered within the
// objective.
func hedgeDelay(typical, objective clock.Millis) clock.Millis {
	if typical == 0 && objective > 0 {
		// None has answered yet, or all within the clock's resolution.
		return objective
	}
	most := maxHedgeFactor*typical + maxHedgeExtra
	if objective == 0 {
		return most
	}
	left := objective - clock.Millis(responseReserve*float64(typical))
	return min(max(left, minHedgeFactor*typical), most)
}

// averageLatencies holds the average time of an answer by route.
type averageLatencies map[string]float64

func (l averageLatencies) record(route string, took clock.Millis) {
	if l[route] == 0 {
		l[route] = float64(took)
	}
	l[route] += latencyWeight * (float64(took) - l[route])
}
