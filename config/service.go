package config

import "github.com/carawayrack/carawayrack/clock"

// Service is a group of interchangeable targets.
type Service struct {
	Name string `json:"name"`
	// FloorPercent is the percentage of the service's announced slots that
	// must stay healthy: targets are not ejected below it.
	FloorPercent int `json:"floorPercent"`
	// ColdSlots is the number of concurrent requests that a target can handle
	// during a cold start if its announcement does not give the number.
	ColdSlots int `json:"coldSlots"`
	// Deadline bounds the time from the arrival of a request to the end of the
	// response.
	Deadline clock.Millis `json:"deadlineMillis"`
	// QueueWait bounds the time that a request waits for a free slot.
	QueueWait clock.Millis `json:"queueWaitMillis"`
	// RetryPercent bounds the number of retries to a percentage of the number
	// of first attempts.
	RetryPercent int `json:"retryPercent"`
}

// Defaults for the fields of a service.
const (
	DefaultFloorPercent = 60
	DefaultColdSlots    = 1
	DefaultDeadline     = 10 * clock.Second
	DefaultQueueWait    = 2 * clock.Second
	DefaultRetryPercent = 20

	maxDeadline = 3600 * clock.Second
)

// WithDefaults returns s with zero fields replaced by their defaults.
func (s Service) WithDefaults() Service {
	if s.FloorPercent == 0 {
		s.FloorPercent = DefaultFloorPercent
	}
	if s.ColdSlots == 0 {
		s.ColdSlots = DefaultColdSlots
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if s.QueueWait == 0 {
		s.QueueWait = DefaultQueueWait
	}
	if s.RetryPercent == 0 {
		s.RetryPercent = DefaultRetryPercent
	}
	return s
}

// validate appends the service's problems to p; path names the service in the
// change.
func (s Service) validate(path string, p *Problems) {
	p.name(path+".name", s.Name)
	p.inRange(path+".floorPercent", s.FloorPercent, 1, 100)
	p.inRange(path+".coldSlots", s.ColdSlots, 1, 1000)
	p.inRange(path+".deadlineMillis", int(s.Deadline), 1, int(maxDeadline))
	p.inRange(path+".queueWaitMillis", int(s.QueueWait), 1, int(maxDeadline))
	p.inRange(path+".retryPercent", s.RetryPercent, 1, 100)
}
