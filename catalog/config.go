package catalog

import (
	"strings"

	"github.com/carawayrack/carawayrack/clock"
)

// Kind says whether a route's requests may be sent to a target more than once.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// Unsafe requests may be executed at most once.
	Unsafe Kind = "unsafe"
	// Upload requests may be executed at most once and have large bodies.
	Upload Kind = "upload"
	// Download requests may be executed more than once and have large responses.
	Download Kind = "download"
)

// Repeatable reports whether a request of the kind may be executed more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Route sends the requests of one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the value of the Host header without a port.
	Host string
	// Prefix must begin and end with a slash. Validate checks only the first
	// one; Match never finds a prefix without the last one.
	Prefix string
	Kind   Kind
	// Timeout bounds a request from its arrival to the end of its response.
	Timeout clock.Millis
	// Objective is the target latency: a response within it has its full value
	// to the caller, a later one has less.
	Objective clock.Millis
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Parts are the services that share the route's requests by weight.
	Parts []Part
	// Attempts is the largest number of times that one request is sent to a
	// target. Zero means one.
	Attempts int
	// Open routes accept requests without a key. A key that is sent must still be one of
	// the configuration.
	Open bool
}

// Part is one service of a route. Weight is its share of the requests relative
// to the other parts' weights.
type Part struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// HealthPath is the path at which targets report their health, empty if they
	// do not.
	HealthPath string
	// Connections is the number of connections that one target accepts.
	Connections int
	// WarmUp is the length of a target's warm-up after a cold start.
	WarmUp clock.Millis
	// WarmUpRate is the number of requests a second that one target can handle
	// during its warm-up.
	WarmUpRate float64
	// Hedge is the share of the service's requests, from 0 to 1, that may be sent to
	// a second target because the first one is slow; nil for the share in the
	// settings of the hosts.
	Hedge *float64
}

// Account is a client account. Callers identify it by any of its Keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of routes unless it is negative.
	Priority int
	// Rate is the number of requests a second, Burst the number of requests
	// at once. A rate of zero means no limit.
	Rate, Burst float64
}

// Limits bound the requests of callers.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time in which a caller must send the header.
	HeaderTimeout clock.Millis
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout clock.Millis
}

// Config is one version of the configuration that operators sent. It must not
// be modified after Index, because readers share it.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	// KeysRequired is true if routes that are not open need a key although there may be no
	// account: the last one may have been taken out. Accounts always require keys.
	KeysRequired bool
	Limits       Limits
	// HostsWithoutRoutes are the host names that are listed without a route.
	HostsWithoutRoutes []string

	// byPath holds routes by host name and path prefix.
	byPath    map[string]map[string]*Route
	byKey     map[string]*Account
	byService map[string]*Service
	byAccount map[string]*Account
}

// Index builds the lookup tables. Call it before Match, AccountByKey, Account
// and Service.
func (c *Config) Index() {
	c.byPath = map[string]map[string]*Route{}
	c.byKey = map[string]*Account{}
	c.byService = map[string]*Service{}
	c.byAccount = map[string]*Account{}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		if c.byPath[h] == nil {
			c.byPath[h] = map[string]*Route{}
		}
		c.byPath[h][r.Prefix] = r
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.byAccount[a.Name] = a
		for _, k := range a.Keys {
			if k != "" {
				c.byKey[k] = a
			}
		}
	}
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
}

// Match returns the route of host whose prefix is the longest that path begins
// with, nil if there is none. The case of host does not matter.
func (c *Config) Match(host, path string) *Route {
	m := c.byPath[strings.ToLower(host)]
	if m == nil {
		return nil
	}
	for i := len(path); i > 0; i-- {
		if path[i-1] != '/' {
			continue
		}
		if r := m[path[:i]]; r != nil {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that a key belongs to, nil if there is none. The empty
// key belongs to no account.
func (c *Config) AccountByKey(key string) *Account { return c.byKey[key] }

// NeedsKey reports whether requests on a route must carry a key.
func (c *Config) NeedsKey(r *Route) bool {
	return !r.Open && (c.KeysRequired || len(c.Accounts) > 0)
}

// Account returns the account with the given name, nil if there is none.
func (c *Config) Account(name string) *Account { return c.byAccount[name] }

// Service returns the service with the given name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.byService[name] }
