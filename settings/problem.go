package settings

import (
	"fmt"
	"strings"
)

// Problem is one missing, invalid or unknown setting.
type Problem struct {
	Section  string
	Key      string
	Got      string
	Expected string
}

// Error returns the setting, its value and the expected form.
func (p Problem) Error() string {
	return fmt.Sprintf("[%s] %s = %q: expected %s", p.Section, p.Key, p.Got, p.Expected)
}

// Problems lists all problems of a settings file.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	l := make([]string, 0, len(p))
	for _, x := range p {
		l = append(l, x.Error())
	}
	return strings.Join(l, "\n")
}
