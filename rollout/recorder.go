package rollout

import (
	"sort"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Recorder counts the requests of one host by service, version and route. It is
// not safe for concurrent use. The zero value is ready for use.
type Recorder struct {
	services map[string]*serviceRecord
	lastID   uint64
}

// serviceRecord holds the counts of a service. There are rows only while a
// roll-out runs, pending requests always: a roll-out must know those that were sent
// before the order.
type serviceRecord struct {
	rollout catalog.Rollout
	rows    map[Key]*Counts
	pending map[uint64]Attempt
}

// Attempt is a request that was sent to a target.
type Attempt struct {
	id             uint64
	service, route string
	version        string
	target         uint32
	started        clock.Millis
	cold           bool
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	// Served attempts got a response that does not report a failure.
	Served Outcome = iota
	// Failed attempts got a failure or no complete response.
	Failed
	// Overtaken attempts were cancelled because another one was faster. They
	// would have taken longer than they did.
	Overtaken
	// Ignored attempts tell nothing of the version.
	Ignored
)

// maxRows bounds the rows of a report: the links of hosts and control processes
// are narrow. A host sends requests to few targets before the last step.
const maxRows = 128

func (r *Recorder) service(name string) *serviceRecord {
	s := r.services[name]
	if s == nil {
		if r.services == nil {
			r.services = map[string]*serviceRecord{}
		}
		s = &serviceRecord{rows: map[Key]*Counts{}, pending: map[uint64]Attempt{}}
		r.services[name] = s
	}
	return s
}

// Running reports whether a roll-out of a service is running.
func (r *Recorder) Running(service string) bool {
	s := r.services[service]
	return s != nil && s.rollout.State == catalog.RolloutRunning
}

// SetRollout sets the roll-out of a service, or the step that it has reached. It
// reports whether that is new.
func (r *Recorder) SetRollout(x catalog.Rollout) bool {
	s := r.service(x.Service)
	if s.rollout.Revision == x.Revision {
		return false
	}
	if s.rollout.Number != x.Number || x.State != catalog.RolloutRunning {
		s.rows = map[Key]*Counts{}
	}
	s.rollout = x
	return true
}

// Begin records that a request is sent to a target of a version. Key is the
// target's key; cold is true during its warm-up.
func (r *Recorder) Begin(now clock.Millis, service, route, version string, key uint32, cold bool) Attempt {
	s := r.service(service)
	r.lastID++
	a := Attempt{id: r.lastID, service: service, route: route, version: version, target: key, started: now, cold: cold}
	s.pending[a.id] = a
	if s.rollout.State == catalog.RolloutRunning {
		s.row(a).Started++
	}
	return a
}

// End records the end of an attempt.
func (r *Recorder) End(now clock.Millis, a Attempt, o Outcome) {
	s := r.service(a.service)
	delete(s.pending, a.id)
	if s.rollout.State != catalog.RolloutRunning || o == Ignored {
		return
	}
	c := s.row(a)
	switch {
	case o == Failed:
		c.Failed++
	case a.cold:
		// Targets are slower during their warm-up.
		c.Served++
	case o == Served:
		c.Served++
		c.Latency.add(now - a.started)
	case o == Overtaken:
		c.Latency.add(now - a.started)
	}
}

// key returns the key of the row that counts an attempt.
func (s *serviceRecord) key(a Attempt) Key {
	if a.version != s.rollout.Version {
		return Key{Route: a.route}
	}
	return Key{a.route, true, a.target}
}

func (s *serviceRecord) row(a Attempt) *Counts {
	k := s.key(a)
	c := s.rows[k]
	if c == nil {
		c = &Counts{}
		s.rows[k] = c
	}
	return c
}

// Reports returns the counts of the running roll-outs.
func (r *Recorder) Reports(now clock.Millis) []ServiceReport {
	var l []ServiceReport
	for _, s := range r.services {
		if s.rollout.State == catalog.RolloutRunning {
			l = append(l, s.report(now))
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Service < l[j].Service })
	return l
}

func (s *serviceRecord) report(now clock.Millis) ServiceReport {
	p := ServiceReport{Service: s.rollout.Service, Number: s.rollout.Number, Revision: s.rollout.Revision}
	pending := map[Key]Histogram{}
	for _, a := range s.pending {
		k := s.key(a)
		if !k.New {
			p.OldInFlight++
		}
		if a.cold {
			continue
		}
		h := pending[k]
		h.add(now - a.started)
		pending[k] = h
		s.row(a)
	}
	for k, c := range s.rows {
		x := Row{k, *c}
		// Later counts must not change the report.
		x.Latency = append(Histogram(nil), c.Latency...)
		x.Pending = pending[k]
		p.Rows = append(p.Rows, x)
	}
	// Rows of the other versions come first: they are few and needed for any
	// comparison.
	sort.Slice(p.Rows, func(i, j int) bool {
		a, b := p.Rows[i], p.Rows[j]
		switch {
		case a.New != b.New:
			return b.New
		case a.Failed != b.Failed:
			return a.Failed > b.Failed
		case a.Route != b.Route:
			return a.Route < b.Route
		}
		return a.Target < b.Target
	})
	p.Rows = p.Rows[:min(len(p.Rows), maxRows)]
	return p
}
