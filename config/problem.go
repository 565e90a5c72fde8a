package config

import (
	"fmt"
	"regexp"
	"strings"
)

// Problem is one invalid value of a configuration or change.
type Problem struct {
	// Path is the JSON path of the value, such as edits[0].putAccount.burst.
	Path     string `json:"path"`
	Got      string `json:"got"`
	Expected string `json:"expected"`
}

// Problems lists all problems of a configuration or change.
type Problems []Problem

// Error returns the problems separated by semicolons.
func (p Problems) Error() string {
	l := make([]string, 0, len(p))
	for _, x := range p {
		l = append(l, fmt.Sprintf("%s = %q: expected %s", x.Path, x.Got, x.Expected))
	}
	return strings.Join(l, "; ")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

func (p *Problems) add(path, got, expected string) {
	*p = append(*p, Problem{path, got, expected})
}

// name appends a problem if v is not a valid name.
func (p *Problems) name(path, v string) {
	if !namePattern.MatchString(v) {
		p.add(path, v, "1 to 100 letters, digits, dots, underscores or hyphens")
	}
}

// inRange appends a problem if v is outside [low, high].
func (p *Problems) inRange(path string, v, low, high int) {
	if v < low || v > high {
		p.add(path, fmt.Sprint(v), fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}
