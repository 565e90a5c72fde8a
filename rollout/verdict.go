package rollout

import (
	"fmt"
	"math"
	"sort"
)

const (
	// slowBins is the number of bins above the median of the other versions from
	// which a response counts as slow: 2 to 2.8 times the median. A bad version is
	// several times slower.
	slowBins = 3
	// minMedian is the number of responses of the other versions on a route without
	// which no response there counts as slow.
	minMedian = 5
	// minComparable is the number of responses of the old versions in a window below
	// which those since the order are used instead.
	minComparable = 20
	// minBad is the number of bad responses below which a version is not bad.
	minBad = 4
	// A version is bad once its responses are e^minEvidence times more likely if
	// badShare of those that would be good otherwise are bad, than if goodExcess more
	// are bad than with the other versions (sequential probability ratio test). Bad
	// versions fail about half of their requests; a good one passes this limit with a
	// probability of at most e^-minEvidence, 0.25 %.
	minEvidence = 6
	badShare    = 0.4
	goodExcess  = 0.03
	// The share of bad responses of the other versions counts as if there had been
	// priorResponses before, priorBad of them bad: a few responses prove little.
	priorResponses = 20
	priorBad       = 1
	// minExcess is by how much the share of bad responses of the targets other than
	// the worst one must exceed that of the other versions.
	minExcess = 0.2
	// minBadElsewhere is the number of bad responses that targets other than the
	// worst one must have: one failing target does not make a version bad.
	minBadElsewhere = 2
)

// Totals are the counts of all hosts.
type Totals map[Key]Counts

// sum returns the totals of reports. Histograms of the result are not shared with
// them.
func sum(reports []ServiceReport) Totals {
	by := map[Key]*Counts{}
	for _, p := range reports {
		for _, r := range p.Rows {
			c := by[r.Key]
			if c == nil {
				c = &Counts{}
				by[r.Key] = c
			}
			c.merge(r.Counts)
		}
	}
	t := make(Totals, len(by))
	for k, c := range by {
		t[k] = *c
	}
	return t
}

// Since returns what t has beyond o.
func (t Totals) Since(o Totals) Totals {
	r := Totals{}
	for k, c := range t {
		r[k] = c.since(o[k])
	}
	return r
}

// comparable returns t with the counts of another time where those of the old
// versions are too few for a comparison.
func (t Totals) comparable(o Totals) Totals {
	for k, c := range o {
		if !k.New && t[k].Served+t[k].Failed < minComparable {
			t[k] = c
		}
	}
	return t
}

// Started returns the number of requests sent to the new version and to others.
func (t Totals) Started() (fresh, old int) {
	for k, c := range t {
		if k.New {
			fresh += int(c.Started)
		} else {
			old += int(c.Started)
		}
	}
	return fresh, old
}

// Responses returns the number of responses of the new version.
func (t Totals) Responses() int {
	n := 0
	for k, c := range t {
		if k.New {
			n += int(c.Served + c.Failed)
		}
	}
	return n
}

// routeResponses returns the number of responses of the new version on the route
// that has the fewest, without routes that are rarely used.
func (t Totals) routeResponses() int {
	old, fresh, all := map[string]int{}, map[string]int{}, 0
	for k, c := range t {
		n := int(c.Served + c.Failed)
		if k.New {
			fresh[k.Route] += n
			continue
		}
		old[k.Route] += n
		all += n
	}
	least := math.MaxInt
	for r, n := range old {
		if float64(n) >= minRouteShare*float64(all) {
			least = min(least, fresh[r])
		}
	}
	return least
}

// Bad returns the number of bad responses of the new version.
func (t Totals) Bad() int {
	n := 0
	for _, s := range t.scopes() {
		for _, x := range s.targets {
			n += x.bad
		}
	}
	return n
}

// sample is a number of responses and how many of them were bad.
type sample struct{ n, bad int }

func (s *sample) add(o sample) {
	s.n += o.n
	s.bad += o.bad
}

func (s sample) share() float64 { return float64(s.bad) / float64(max(s.n, 1)) }

// evidence returns the logarithm of how much more likely the sample is from a bad
// version than from a good one, where base is the share of bad responses otherwise.
func (s sample) evidence(base float64) float64 {
	h0 := min(base+goodExcess, 0.99)
	h1 := max(base+badShare*(1-base), h0)
	return float64(s.bad)*math.Log(h1/h0) + float64(s.n-s.bad)*math.Log((1-h1)/(1-h0))
}

// scope holds the responses of one route, or of all.
type scope struct {
	name    string
	old     sample
	targets map[uint32]sample
}

// scopes returns the routes in order.
func (t Totals) scopes() []*scope {
	old, by := map[string]Counts{}, map[string]*scope{}
	for k, c := range t {
		if by[k.Route] == nil {
			by[k.Route] = &scope{name: k.Route, targets: map[uint32]sample{}}
		}
		if !k.New {
			old[k.Route] = c
		}
	}
	var l []*scope
	slow := map[string]int{}
	for _, s := range by {
		o := old[s.name]
		slow[s.name] = binCount
		if o.Latency.from(0) >= minMedian {
			slow[s.name] = o.Latency.median() + slowBins
		}
		s.old = rate(o, slow[s.name])
		l = append(l, s)
	}
	for k, c := range t {
		if k.New {
			by[k.Route].targets[k.Target] = rate(c, slow[k.Route])
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].name < l[j].name })
	return l
}

// rate returns the responses of counts. Those in the bin slow or above are bad, as
// are requests that have been in flight for as long.
func rate(c Counts, slow int) sample {
	late := c.Pending.from(slow)
	bad := int(c.Failed) + c.Latency.from(slow) + late
	// Served requests of cold targets have no latency, cancelled ones only that.
	return sample{int(c.Failed) + late + max(int(c.Served), c.Latency.from(0)), bad}
}

// Verdict is the result of a comparison. Reason describes why a version is bad.
type Verdict struct {
	Bad    bool
	Reason string
}

// Judge compares the new version's responses with those of the others, by route and
// over all routes.
func (t Totals) Judge() Verdict {
	all := &scope{name: "all routes", targets: map[uint32]sample{}}
	l := t.scopes()
	for _, s := range l {
		all.old.add(s.old)
		for k, x := range s.targets {
			y := all.targets[k]
			y.add(x)
			all.targets[k] = y
		}
	}
	for _, s := range append(l, all) {
		if v := s.judge(); v.Bad {
			return v
		}
	}
	return Verdict{}
}

func (s *scope) judge() Verdict {
	var total, worst sample
	seen := 0
	for _, x := range s.targets {
		total.add(x)
		if x.n > 0 {
			seen++
		}
		if x.bad > worst.bad {
			worst = x
		}
	}
	base := (float64(s.old.bad) + priorBad) / (float64(s.old.n) + priorResponses)
	if total.bad < minBad || total.evidence(base) < minEvidence {
		return Verdict{}
	}
	rest := sample{total.n - worst.n, total.bad - worst.bad}
	if seen > 1 && (rest.bad < minBadElsewhere || rest.share() < base+minExcess) {
		return Verdict{}
	}
	return Verdict{true, fmt.Sprintf("%s: %d of %d responses are bad, %d of %d of other versions", s.name, total.bad, total.n, s.old.bad, s.old.n)}
}
