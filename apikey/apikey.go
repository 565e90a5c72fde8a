// Package apikey reads the API key that a request carries. Which key counts must not
// depend on the order of headers: otherwise a withdrawn key would pass behind a valid or
// an empty one.
package apikey

import (
	"net/http"
	"strings"
)

// Sole returns the key among the values of a header, "" if there is none. Empty values and
// repetitions do not count. It returns false for several different keys.
func Sole(values []string) (key string, ok bool) {
	for _, v := range values {
		v = strings.TrimSpace(v)
		if v == "" || v == key {
			continue
		}
		if key != "" {
			return "", false
		}
		key = v
	}
	return key, true
}

// Bearer returns the key in the Authorization headers with the scheme Bearer (RFC 6750),
// "" if there is none. It returns false for several different keys.
func Bearer(h http.Header) (key string, ok bool) {
	var l []string
	for _, v := range h.Values("Authorization") {
		// The case of the scheme does not matter (RFC 9110, 11.1).
		if scheme, t, _ := strings.Cut(strings.TrimSpace(v), " "); strings.EqualFold(scheme, "Bearer") {
			l = append(l, t)
		}
	}
	return Sole(l)
}
