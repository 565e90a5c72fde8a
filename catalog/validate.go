package catalog

import "fmt"

// Invalid is the error for a configuration that must not come into force.
type Invalid struct {
	// Item names the part of the configuration, such as "route R"; Reason says
	// what is wrong with it.
	Item, Reason string
}

// Error returns the item and the reason.
func (e Invalid) Error() string { return fmt.Sprintf("%s: %s", e.Item, e.Reason) }

// Validate checks the whole configuration. It returns the first problem found
// as an Invalid error.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			return Invalid{"service", "has no name"}
		}
		services[s.Name] = true
	}
	routeAt := map[string]string{}
	for _, r := range c.Routes {
		if err := r.validate(services); err != nil {
			return err
		}
		if other, ok := routeAt[r.Host+r.Prefix]; ok {
			return Invalid{"route " + r.Name, "has the place of route " + other}
		}
		routeAt[r.Host+r.Prefix] = r.Name
	}
	return c.validateKeys()
}

func (c *Config) validateKeys() error {
	accountOf := map[string]string{}
	for _, a := range c.Accounts {
		if a.Name == "" {
			return Invalid{"account", "has no name"}
		}
		for _, k := range a.Keys {
			if other, ok := accountOf[k]; ok && other != a.Name {
				return Invalid{"account " + a.Name, "shares a key with " + other}
			}
			accountOf[k] = a.Name
		}
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
	case Idempotent, Unsafe, Upload:
	default:
		return Invalid{item, "has the unknown kind " + string(r.Kind)}
	}
	if r.Timeout <= 0 {
		return Invalid{item, "has no timeout"}
	}
	sum := 0
	for _, p := range r.Parts {
		if !services[p.Service] {
			return Invalid{item, "leads to the unknown service " + p.Service}
		}
		if p.Weight < 0 {
			return Invalid{item, "has a negative weight"}
		}
		sum += p.Weight
	}
	if sum == 0 {
		return Invalid{item, "has weights that add up to zero"}
	}
	return nil
}
