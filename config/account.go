package config

// Account is a client account. Its rate limit covers its requests to all hosts
// together.
type Account struct {
	Name string `json:"name"`
	// RatePerMinute is the sustained rate limit in requests per minute.
	RatePerMinute int `json:"ratePerMinute"`
	// Burst is the number of requests that the account may send at once.
	Burst int `json:"burst"`
}

const (
	maxRatePerMinute = 60_000_000
	maxBurst         = 10_000_000
)

// validate appends the account's problems to p; path names the account in the
// change.
func (a Account) validate(path string, p *Problems) {
	p.name(path+".name", a.Name)
	p.inRange(path+".ratePerMinute", a.RatePerMinute, 1, maxRatePerMinute)
	p.inRange(path+".burst", a.Burst, 1, maxBurst)
}
