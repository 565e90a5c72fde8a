package config

import "strings"

// Route sends requests whose path starts with Prefix to a service.
type Route struct {
	// Prefix is a path of whole segments, such as /portal/standards.
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Open is true if requests on the route need no key.
	Open bool `json:"open,omitempty"`
}

// validate appends the route's problems to p; path names the route in the change.
func (r Route) validate(path string, p *Problems) {
	if !strings.HasPrefix(r.Prefix, "/") || (r.Prefix != "/" && strings.HasSuffix(r.Prefix, "/")) {
		p.add(path+".prefix", r.Prefix, "a path that starts with / and does not end with /")
	}
	p.name(path+".service", r.Service)
}

// Match returns the route with the longest prefix that consists of whole
// segments of path, and whether there is one.
func (s *State) Match(path string) (Route, bool) {
	for p := path; p != ""; {
		if r, ok := s.Routes[p]; ok {
			return r, true
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			break
		}
		p = p[:i]
	}
	r, ok := s.Routes["/"]
	return r, ok
}
