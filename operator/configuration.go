// Package operator lets operators define the fleet's configuration in a Go
// program, and has the client that submits changes to the control replicas.
package operator

import (
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/config"
)

// Configuration is the desired set of accounts, services and routes. Keys, zones
// and the roster of hosts are managed separately.
type Configuration struct {
	Accounts []config.Account `json:"accounts"`
	Services []config.Service `json:"services"`
	Routes   []config.Route   `json:"routes"`
}

// New returns an empty configuration.
func New() *Configuration { return &Configuration{} }

// Account adds a client account with its rate limit in requests per minute and
// its burst in requests.
func (c *Configuration) Account(name string, ratePerMinute, burst int) *Configuration {
	c.Accounts = append(c.Accounts, config.Account{Name: name, RatePerMinute: ratePerMinute, Burst: burst})
	return c
}

// Service adds a service with default values.
func (c *Configuration) Service(name string) *Configuration {
	return c.ServiceWith(config.Service{Name: name})
}

// ServiceWith adds a service. Zero fields are set to their defaults.
func (c *Configuration) ServiceWith(s config.Service) *Configuration {
	c.Services = append(c.Services, s.WithDefaults())
	return c
}

// Route adds a route that sends requests under a path prefix to a service.
func (c *Configuration) Route(prefix, service string) *Configuration {
	c.Routes = append(c.Routes, config.Route{Prefix: prefix, Service: service})
	return c
}

// OpenRoute adds a route like Route, but its requests need no key.
func (c *Configuration) OpenRoute(prefix, service string) *Configuration {
	c.Routes = append(c.Routes, config.Route{Prefix: prefix, Service: service, Open: true})
	return c
}

// Print writes the configuration as the JSON that `carawayrack apply` reads. If
// the configuration is invalid, it writes nothing and returns a config.Problems.
func (c *Configuration) Print(w io.Writer) error {
	if err := c.Validate(); err != nil {
		return err
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(c), "operator.Print")
}

// Read reads a configuration as Print writes it, sets zero fields of services to
// their defaults and validates it. Unknown fields are an error.
func Read(r io.Reader) (*Configuration, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	c := New()
	if err := d.Decode(c); err != nil {
		return nil, errors.Wrap(err, "operator.Read")
	}
	for i := range c.Services {
		c.Services[i] = c.Services[i].WithDefaults()
	}
	return c, c.Validate()
}

// Validate returns nil, or all problems as a config.Problems.
func (c *Configuration) Validate() error {
	var p config.Problems
	for _, e := range c.edits() {
		x := config.Change{ID: "check", Edits: []config.Edit{e}}
		if q, ok := x.Validate().(config.Problems); ok {
			p = append(p, q...)
		}
	}
	p = append(p, c.duplicates()...)
	if len(p) > 0 {
		return p
	}
	return nil
}

// duplicates returns a problem for each part that is listed twice. Of two such parts the
// last one would come into force, and each Diff would find the first one changed.
func (c *Configuration) duplicates() config.Problems {
	var p config.Problems
	listed := map[string]bool{}
	check := func(path, name string) {
		if listed[path+" "+name] {
			p = append(p, config.Problem{Path: path, Got: name, Expected: "each name once"})
		}
		listed[path+" "+name] = true
	}
	for _, a := range c.Accounts {
		check("accounts.name", a.Name)
	}
	for _, s := range c.Services {
		check("services.name", s.Name)
	}
	for _, r := range c.Routes {
		check("routes.prefix", r.Prefix)
	}
	return p
}

// edits returns the edits that add or replace every part of the configuration.
func (c *Configuration) edits() []config.Edit {
	var l []config.Edit
	for i := range c.Accounts {
		l = append(l, config.Edit{PutAccount: &c.Accounts[i]})
	}
	for i := range c.Services {
		l = append(l, config.Edit{PutService: &c.Services[i]})
	}
	for i := range c.Routes {
		l = append(l, config.Edit{PutRoute: &c.Routes[i]})
	}
	return l
}

// Diff returns the edits that turn the accounts, services and routes of s into
// those of the configuration.
func (c *Configuration) Diff(s *config.State) []config.Edit {
	var l []config.Edit
	wanted := map[string]bool{}
	for _, e := range c.edits() {
		switch {
		case e.PutAccount != nil:
			wanted["a"+e.PutAccount.Name] = true
			if s.Accounts[e.PutAccount.Name] == *e.PutAccount {
				continue
			}
		case e.PutService != nil:
			wanted["s"+e.PutService.Name] = true
			if s.Services[e.PutService.Name] == *e.PutService {
				continue
			}
		case e.PutRoute != nil:
			wanted["r"+e.PutRoute.Prefix] = true
			if s.Routes[e.PutRoute.Prefix] == *e.PutRoute {
				continue
			}
		}
		l = append(l, e)
	}
	return append(l, deletions(s, wanted)...)
}

// deletions returns the edits that delete the parts of s that are not wanted. The
// keys of wanted are a letter for the kind (a, s or r) and a name or prefix.
func deletions(s *config.State, wanted map[string]bool) []config.Edit {
	var l []config.Edit
	for _, n := range sortedKeys(s.Routes) {
		if !wanted["r"+n] {
			l = append(l, config.Edit{DeleteRoute: n})
		}
	}
	for _, n := range sortedKeys(s.Services) {
		if !wanted["s"+n] {
			l = append(l, config.Edit{DeleteService: n})
		}
	}
	for _, n := range sortedKeys(s.Accounts) {
		if !wanted["a"+n] {
			l = append(l, config.Edit{DeleteAccount: n})
		}
	}
	return l
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for n := range m {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}
