// Package settings reads the INI settings of a process and checks them as a
// whole: every problem is reported, and unknown keys are problems.
package settings

import (
	"net"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/carawayrack/carawayrack/clock"
)

// Reader reads typed values and collects problems on the way.
type Reader struct {
	file     *ini.File
	seen     map[string]map[string]bool
	problems Problems
}

// Open reads the INI file at path.
func Open(path string) (*Reader, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, path)
	if err != nil {
		return nil, errors.Wrap(err, "settings.Open")
	}
	return &Reader{file: f, seen: map[string]map[string]bool{}}, nil
}

func (r *Reader) raw(section, key string) (string, bool) {
	if r.seen[section] == nil {
		r.seen[section] = map[string]bool{}
	}
	r.seen[section][key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.Key(key).String()), true
}

func (r *Reader) fail(section, key, got, expected string) {
	r.problems = append(r.problems, Problem{section, key, got, expected})
}

// String returns a required text.
func (r *Reader) String(section, key string) string {
	v, ok := r.raw(section, key)
	if !ok || v == "" {
		r.fail(section, key, v, "a non-empty text")
	}
	return v
}

// Optional returns a text, or d where the key is absent.
func (r *Reader) Optional(section, key, d string) string {
	if v, ok := r.raw(section, key); ok {
		return v
	}
	return d
}

// Address returns a required IP address with port.
func (r *Reader) Address(section, key string) string {
	v, _ := r.raw(section, key)
	if !isAddress(v) {
		r.fail(section, key, v, "IP:PORT")
	}
	return v
}

// Addresses returns a required list of IP addresses with ports, separated by
// commas.
func (r *Reader) Addresses(section, key string) []string {
	v, _ := r.raw(section, key)
	l := make([]string, 0)
	for _, x := range strings.Split(v, ",") {
		x = strings.TrimSpace(x)
		if !isAddress(x) {
			r.fail(section, key, v, "IP:PORT, IP:PORT, ...")
			return nil
		}
		l = append(l, x)
	}
	return l
}

// NamedAddresses returns a required list of NAME=IP:PORT, separated by commas.
func (r *Reader) NamedAddresses(section, key string) map[string]string {
	v, _ := r.raw(section, key)
	m := map[string]string{}
	for _, x := range strings.Split(v, ",") {
		n, a, ok := strings.Cut(strings.TrimSpace(x), "=")
		if !ok || n == "" || strings.Contains(n, ".") || !isAddress(a) {
			r.fail(section, key, v, "NAME=IP:PORT, NAME=IP:PORT, ...")
			return nil
		}
		m[n] = a
	}
	return m
}

// Rewrites returns an optional list of IP:PORT=IP:PORT, separated by commas.
func (r *Reader) Rewrites(section, key string) map[string]string {
	v, ok := r.raw(section, key)
	m := map[string]string{}
	if !ok {
		return m
	}
	for _, x := range strings.Split(v, ",") {
		from, to, _ := strings.Cut(strings.TrimSpace(x), "=")
		if !isAddress(from) || !isAddress(to) {
			r.fail(section, key, v, "IP:PORT=IP:PORT, ...")
			return nil
		}
		m[from] = to
	}
	return m
}

func isAddress(v string) bool {
	h, p, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(h) == nil {
		return false
	}
	n, err := strconv.Atoi(p)
	return err == nil && n > 0 && n < 65536
}

// Millis returns a duration in milliseconds within [low, high], or d where the
// key is absent.
func (r *Reader) Millis(section, key string, d, low, high clock.Millis) clock.Millis {
	return clock.Millis(r.Int(section, key, int(d), int(low), int(high)))
}

// Int returns a whole number within [low, high], or d where the key is absent.
func (r *Reader) Int(section, key string, d, low, high int) int {
	v, ok := r.raw(section, key)
	if !ok {
		return d
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.fail(section, key, v, "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
		return d
	}
	return n
}

// Check returns every problem found, among them keys that nothing has read.
func (r *Reader) Check() error {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.seen[s.Name()][k.Name()] {
				r.fail(s.Name(), k.Name(), k.String(), "no such key")
			}
		}
	}
	if len(r.problems) > 0 {
		return r.problems
	}
	return nil
}
