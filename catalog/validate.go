package catalog

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/carawayrack/carawayrack/clock"
)

// Invalid is the error for a configuration that must not come into force.
type Invalid struct {
	// Item names the part of the configuration, such as "route R"; Reason says
	// what is wrong with it.
	Item, Reason string
}

// Error returns the item and the reason.
func (e Invalid) Error() string { return fmt.Sprintf("%s: %s", e.Item, e.Reason) }

// Bounds of the numbers of a configuration: those that decisions add and multiply
// must not overflow.
const (
	// maxWeight bounds the weight of a part. Sums of all parts of a route stay far
	// below the largest integer.
	maxWeight = 1 << 31
	// maxRate bounds rates and bursts, in requests.
	maxRate = 1e12
	// maxTime bounds timeouts, objectives and warm-ups.
	maxTime = 365 * 24 * 60 * 60 * clock.Second
)

// Validate checks the whole configuration. It returns the first problem found
// as an Invalid error.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			return Invalid{"service", "has no name"}
		}
		if err := s.validate(); err != nil {
			return err
		}
		services[s.Name] = true
	}
	routeAt := map[string]string{}
	for _, r := range c.Routes {
		if err := r.validate(services); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if other, ok := routeAt[place]; ok {
			return Invalid{"route " + r.Name, "has the place of route " + other}
		}
		routeAt[place] = r.Name
	}
	if slices.Contains(c.HostsWithoutRoutes, "") {
		return Invalid{"host", "has no name"}
	}
	return c.validateAccounts()
}

func (c *Config) validateAccounts() error {
	names := map[string]bool{}
	accountOf := map[string]string{}
	for _, a := range c.Accounts {
		item := "account " + a.Name
		if a.Name == "" {
			return Invalid{"account", "has no name"}
		}
		if names[a.Name] {
			return Invalid{item, "is listed twice"}
		}
		names[a.Name] = true
		if !(a.Rate >= 0 && a.Rate <= maxRate && a.Burst >= 0 && a.Burst <= maxRate) {
			return Invalid{item, "has a rate or burst that is out of range"}
		}
		for _, k := range a.Keys {
			if other, ok := accountOf[k]; ok && other != a.Name {
				return Invalid{item, "shares a key with " + other}
			}
			accountOf[k] = a.Name
		}
	}
	return nil
}

func (s Service) validate() error {
	if s.WarmUp < 0 || s.WarmUp > maxTime || !(s.WarmUpRate >= 0 && s.WarmUpRate <= maxRate) {
		return Invalid{"service " + s.Name, "has a warm-up that is out of range"}
	}
	if s.Hedge != nil && !(*s.Hedge >= 0 && *s.Hedge <= 1) {
		return Invalid{"service " + s.Name, "has a share of hedges that is not from 0 to 1"}
	}
	return nil
}

func (r Route) validate(services map[string]bool) error {
	item := "route " + r.Name
	if r.Host == "" {
		return Invalid{item, "has no host"}
	}
	if r.Prefix == "" || r.Prefix[0] != '/' {
		return Invalid{item, "has a prefix that does not begin with a slash"}
	}
	switch r.Kind {
	case Idempotent, Unsafe, Upload, Download:
	default:
		return Invalid{item, "has the unknown kind " + string(r.Kind)}
	}
	if r.Timeout <= 0 {
		return Invalid{item, "has no timeout"}
	}
	if r.Timeout > maxTime || r.Objective < 0 || r.Objective > maxTime {
		return Invalid{item, "has a time that is out of range"}
	}
	sum := 0
	for _, p := range r.Parts {
		if !services[p.Service] {
			return Invalid{item, "leads to the unknown service " + p.Service}
		}
		if p.Weight < 0 {
			return Invalid{item, "has a negative weight"}
		}
		if p.Weight > maxWeight {
			return Invalid{item, "has a weight above " + strconv.Itoa(maxWeight)}
		}
		sum += p.Weight
	}
	if sum == 0 {
		return Invalid{item, "has weights that add up to zero"}
	}
	return nil
}
