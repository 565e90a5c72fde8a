package quota

// RetryBudget is a host's part of the fleet's budget for retries to one service.
// The number of retries that the host may send is at most Depth plus Ratio times
// the number of its first attempts. It is not safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of retries that a first attempt adds to the budget.
	Ratio float64
	// Depth is the largest number of retries that the budget holds.
	Depth float64

	// level is the number of retries that the budget holds.
	level float64
}

// Run fills the budget to Depth.
func (r *RetryBudget) Run() { r.level = r.Depth }

// CountRequest counts a first attempt.
func (r *RetryBudget) CountRequest() { r.level = min(r.level+r.Ratio, r.Depth) }

// Left returns the number of retries that the budget holds.
func (r *RetryBudget) Left() float64 { return r.level }

// Spend takes one retry from the budget. It returns false if less than one is
// left.
func (r *RetryBudget) Spend() bool {
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}

// Refund returns a retry that was not sent.
func (r *RetryBudget) Refund() { r.level = min(r.level+1, r.Depth) }
