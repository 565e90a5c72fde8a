// Package settings reads the INI settings file of a process. It reports all
// problems of a file at once, unknown keys among them.
package settings

import (
	"net"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/carawayrack/carawayrack/clock"
)

// Reader reads typed values from a settings file and collects the problems. The
// values are usable only if Check then returns nil.
type Reader struct {
	file *ini.File
	// read holds the keys that have been read, by section.
	read     map[string]map[string]bool
	problems Problems
}

// Open parses the INI file at path.
func Open(path string) (*Reader, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, path)
	if err != nil {
		return nil, errors.Wrap(err, "settings.Open")
	}
	return &Reader{file: f, read: map[string]map[string]bool{}}, nil
}

// lookup returns the value of a key, and whether the file has the key.
func (r *Reader) lookup(section, key string) (string, bool) {
	if r.read[section] == nil {
		r.read[section] = map[string]bool{}
	}
	r.read[section][key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.Key(key).String()), true
}

func (r *Reader) addProblem(section, key, got, expected string) {
	r.problems = append(r.problems, Problem{section, key, got, expected})
}

// String returns a required, non-empty text.
func (r *Reader) String(section, key string) string {
	v, ok := r.lookup(section, key)
	if !ok || v == "" {
		r.addProblem(section, key, v, "a non-empty text")
	}
	return v
}

// Optional returns a text, or def if the key is absent.
func (r *Reader) Optional(section, key, def string) string {
	if v, ok := r.lookup(section, key); ok {
		return v
	}
	return def
}

// Address returns a required IP address with a port.
func (r *Reader) Address(section, key string) string {
	v, _ := r.lookup(section, key)
	if !isAddress(v) {
		r.addProblem(section, key, v, "IP:PORT")
	}
	return v
}

// Addresses returns a required comma-separated list of IP addresses with ports.
func (r *Reader) Addresses(section, key string) []string {
	v, _ := r.lookup(section, key)
	l := make([]string, 0)
	for _, x := range strings.Split(v, ",") {
		x = strings.TrimSpace(x)
		if !isAddress(x) {
			r.addProblem(section, key, v, "IP:PORT, IP:PORT, ...")
			return nil
		}
		l = append(l, x)
	}
	return l
}

// NamedAddresses returns the addresses by name of a required comma-separated list
// of NAME=IP:PORT. Names must not contain dots.
func (r *Reader) NamedAddresses(section, key string) map[string]string {
	v, _ := r.lookup(section, key)
	m := map[string]string{}
	for _, x := range strings.Split(v, ",") {
		name, addr, ok := strings.Cut(strings.TrimSpace(x), "=")
		if !ok || name == "" || strings.Contains(name, ".") || !isAddress(addr) {
			r.addProblem(section, key, v, "NAME=IP:PORT, NAME=IP:PORT, ...")
			return nil
		}
		m[name] = addr
	}
	return m
}

// Rewrites returns an optional comma-separated list of IP:PORT=IP:PORT as a map
// from the first address of each pair to the second.
func (r *Reader) Rewrites(section, key string) map[string]string {
	v, ok := r.lookup(section, key)
	m := map[string]string{}
	if !ok {
		return m
	}
	for _, x := range strings.Split(v, ",") {
		from, to, _ := strings.Cut(strings.TrimSpace(x), "=")
		if !isAddress(from) || !isAddress(to) {
			r.addProblem(section, key, v, "IP:PORT=IP:PORT, ...")
			return nil
		}
		m[from] = to
	}
	return m
}

// isAddress reports whether v is an IP address with a port from 1 to 65535.
func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 65536
}

// Millis returns a duration in milliseconds within [low, high], or def if the key
// is absent or invalid.
func (r *Reader) Millis(section, key string, def, low, high clock.Millis) clock.Millis {
	return clock.Millis(r.Int(section, key, int(def), int(low), int(high)))
}

// Int returns a whole number within [low, high], or def if the key is absent or
// invalid.
func (r *Reader) Int(section, key string, def, low, high int) int {
	v, ok := r.lookup(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.addProblem(section, key, v, "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
		return def
	}
	return n
}

// Check returns nil, or all problems found as a Problems. A key in the file that
// no method has read is a problem. Check is called once, after all reads.
func (r *Reader) Check() error {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.read[s.Name()][k.Name()] {
				r.addProblem(s.Name(), k.Name(), k.String(), "a known key")
			}
		}
	}
	if len(r.problems) > 0 {
		return r.problems
	}
	return nil
}
