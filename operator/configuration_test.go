package operator

import (
	"strings"
	"testing"

	"github.com/carawayrack/carawayrack/config"
)

// Guards against parts of which the second one silently replaces the first.
func TestValidateRefusesDuplicates(t *testing.T) {
	sound := func() *Configuration {
		return New().Account("a", 60, 10).Service("s").OpenRoute("/p", "s").OpenRoute("/q", "s")
	}
	if err := sound().Validate(); err != nil {
		t.Errorf("a sound configuration: %v", err)
	}
	for path, c := range map[string]*Configuration{
		"accounts.name": sound().Account("a", 6000, 1000),
		"services.name": sound().Service("s"),
		"routes.prefix": sound().OpenRoute("/q", "s"),
	} {
		p, ok := c.Validate().(config.Problems)
		if !ok || len(p) != 1 || !strings.Contains(p.Error(), path) {
			t.Errorf("%s: got %v", path, p)
		}
	}
}
