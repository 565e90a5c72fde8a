package config

import "github.com/carawayrack/carawayrack/clock"

// Service is a group of interchangeable targets.
type Service struct {
	Name string `json:"name"`
	// FloorPercent is the share of the service's announced slots that
	// ejection must leave healthy.
	FloorPercent int `json:"floorPercent"`
	// ColdSlots is the number of concurrent requests that a target in a cold
	// start bears where its announcement does not say.
	ColdSlots int `json:"coldSlots"`
	// Deadline bounds a request from its arrival to the end of the answer.
	Deadline clock.Millis `json:"deadlineMillis"`
	// QueueWait bounds the wait for a free slot.
	QueueWait clock.Millis `json:"queueWaitMillis"`
	// RetryPercent bounds retries to a share of first attempts.
	RetryPercent int `json:"retryPercent"`
}

// Defaults of a service.
const (
	DefaultFloorPercent = 60
	DefaultColdSlots    = 1
	DefaultDeadline     = 10 * clock.Second
	DefaultQueueWait    = 2 * clock.Second
	DefaultRetryPercent = 20

	maxDeadline = 3600 * clock.Second
)

// WithDefaults returns s with defaults in place of zero values.
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

func (s Service) validate(path string, p *Problems) {
	p.name(path+".name", s.Name)
	p.inRange(path+".floorPercent", s.FloorPercent, 1, 100)
	p.inRange(path+".coldSlots", s.ColdSlots, 1, 1000)
	p.inRange(path+".deadlineMillis", int(s.Deadline), 1, int(maxDeadline))
	p.inRange(path+".queueWaitMillis", int(s.QueueWait), 1, int(maxDeadline))
	p.inRange(path+".retryPercent", s.RetryPercent, 1, 100)
}
