// Package routing finds the route of a request in a configuration, with respect to both
// readings of an encoded slash, and the URL with which the request is forwarded. Explanation
// says what a host would do with a request.
package routing

import (
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/carawayrack/carawayrack/catalog"
)

// Match returns the route of a request, nil if there is none. An encoded slash is
// a part of a name in one reading of a path, and a separator in the other. Targets may
// take either, so a request that the readings give different routes gets the stricter
// properties of both; if these lead to different services, or one reading has no route,
// it has none.
func Match(f *catalog.Config, r *http.Request) *catalog.Route {
	a := f.Match(hostName(r), r.URL.Path)
	raw := r.URL.EscapedPath()
	if !strings.Contains(strings.ToLower(raw), "%2f") {
		return a
	}
	kept, err := url.PathUnescape(strings.NewReplacer("%2f", "%252f", "%2F", "%252F").Replace(raw))
	if err != nil {
		return nil
	}
	b := f.Match(hostName(r), kept)
	if a == b {
		return a
	}
	if a == nil || b == nil || !sameServices(a, b) {
		return nil
	}
	return stricter(b, a)
}

// hostName returns the host of a request without the port.
func hostName(r *http.Request) string {
	name, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return name
}

// sameServices reports whether two routes lead to the same services.
func sameServices(a, b *catalog.Route) bool {
	s := map[string]bool{}
	for _, p := range a.Parts {
		s[p.Service] = true
	}
	for _, p := range b.Parts {
		if !s[p.Service] {
			return false
		}
		delete(s, p.Service)
	}
	return len(s) == 0
}

// stricter returns a copy of route a with what b allows less: repetitions, attempts,
// time, and requests without a key.
func stricter(a, b *catalog.Route) *catalog.Route {
	r := *a
	if !b.Kind.Repeatable() || a.Kind == catalog.Idempotent {
		r.Kind = b.Kind
	}
	r.Attempts = min(a.Attempts, b.Attempts)
	r.Timeout = min(a.Timeout, b.Timeout)
	r.Open = a.Open && b.Open
	return &r
}

// OutgoingURL returns the URL with which a request is forwarded, with the path and the
// query as they were sent.
func OutgoingURL(r *http.Request) *url.URL {
	if !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Opaque: r.RequestURI}
	}
	// An opaque part that begins with two slashes would be preceded by a colon.
	return &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
}

// PathKept reports whether OutgoingURL keeps the request's path.
func PathKept(r *http.Request) bool { return OutgoingURL(r).RequestURI() == r.RequestURI }
