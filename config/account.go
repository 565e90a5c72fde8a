package config

// Account is a client account, whose requests count against one limit across
// all hosts together.
type Account struct {
	Name string `json:"name"`
	// RatePerMinute is the sustained number of requests a minute.
	RatePerMinute int `json:"ratePerMinute"`
	// Burst is the number of requests that may come at once.
	Burst int `json:"burst"`
}

const (
	maxRatePerMinute = 60_000_000
	maxBurst         = 10_000_000
)

func (a Account) validate(path string, p *Problems) {
	p.name(path+".name", a.Name)
	p.inRange(path+".ratePerMinute", a.RatePerMinute, 1, maxRatePerMinute)
	p.inRange(path+".burst", a.Burst, 1, maxBurst)
}
