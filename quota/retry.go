package quota

// RetryBudget is a host's part of the fleet's budget for sending requests of one
// service again: a share of the requests themselves, and a part of a fixed
// allowance. The host may send Ratio times its requests plus Depth.
type RetryBudget struct {
	// Ratio is the number of retries that a request earns.
	Ratio float64
	// Depth is the largest number saved up.
	Depth float64

	level float64
}

// Run starts with the whole allowance.
func (r *RetryBudget) Run() { r.level = r.Depth }

// CountRequest counts a first attempt.
func (r *RetryBudget) CountRequest() { r.level = min(r.level+r.Ratio, r.Depth) }

// Left returns the number of retries that may be sent.
func (r *RetryBudget) Left() float64 { return r.level }

// Spend takes one retry if there is one.
func (r *RetryBudget) Spend() bool {
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}
