package catalog

import "github.com/carawayrack/carawayrack/clock"

// Kind says what may be repeated of a request.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Upload requests run at most once and have large bodies.
	Upload Kind = "upload"
)

// Route leads the requests of one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the value of the Host header without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout clock.Millis
	// Objective is the latency within which an answer has its full value.
	Objective clock.Millis
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Parts are the services with their weights.
	Parts []Part
	// Attempts is the largest number of targets for one request.
	Attempts int
	// Open routes need no key.
	Open bool
}

// Part is one service of a route.
type Part struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// Connections is the number of connections that a target accepts.
	Connections int
	// WarmUp is the length of a cold start.
	WarmUp clock.Millis
	// WarmUpRate is the number of requests a second a cold target bears.
	WarmUpRate float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the priority of routes, unless it is negative.
	Priority int
	// Rate is the number of requests a second, Burst the number at once. A
	// rate of zero means no limit.
	Rate, Burst float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time for a request's head.
	HeaderTimeout clock.Millis
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout clock.Millis
}

// Config is one version of the configuration, as operators sent it. It is not
// modified after Index.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byPath    map[string]map[string]*Route
	byKey     map[string]*Account
	byService map[string]*Service
	byAccount map[string]*Account
}

// Index prepares the lookups.
func (c *Config) Index() {
	c.byPath = map[string]map[string]*Route{}
	c.byKey = map[string]*Account{}
	c.byService = map[string]*Service{}
	c.byAccount = map[string]*Account{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if c.byPath[r.Host] == nil {
			c.byPath[r.Host] = map[string]*Route{}
		}
		c.byPath[r.Host][r.Prefix] = r
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.byAccount[a.Name] = a
		for _, k := range a.Keys {
			c.byKey[k] = a
		}
	}
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
}

// Match returns the route of host with the longest prefix of path, nil if
// there is none.
func (c *Config) Match(host, path string) *Route {
	m := c.byPath[host]
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

// AccountByKey returns the account that holds a key, nil if there is none.
func (c *Config) AccountByKey(key string) *Account { return c.byKey[key] }

// Account returns the account of a name, nil if there is none.
func (c *Config) Account(name string) *Account { return c.byAccount[name] }

// Service returns the service of a name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.byService[name] }
