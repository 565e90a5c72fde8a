package control

import (
	"strings"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/settings"
)

// Settings are the settings of a control replica.
type Settings struct {
	Name     string
	Zone     string
	Data     string
	Peer     string
	Admin    string
	Secret   string
	LogLevel string
	// Replicas contains the addresses of the bootstrap replicas by name.
	Replicas map[string]string

	ElectionTimeout clock.Millis
	Heartbeat       clock.Millis
	// Freshness is the greatest age of a proof that a host's configuration is fresh.
	// Without a younger proof the host considers its configuration stale. All
	// processes of a fleet must have the same value.
	Freshness clock.Millis
	// RemoveAfter is the time without contact after which a host is removed
	// from the roster.
	RemoveAfter clock.Millis
	// BootstrapWait is the time without new hosts after which the first roster
	// is proposed.
	BootstrapWait clock.Millis
	// RepairAfter is the time without a response after which a voter is
	// replaced.
	RepairAfter clock.Millis
	// CompactAfter is the number of log entries after which the log is
	// compacted.
	CompactAfter int
	// Via replaces the addresses of peers in tests that interrupt connections.
	Via map[string]string
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	r, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Name:     r.String("control", "name"),
		Zone:     r.String("control", "zone"),
		Data:     r.String("control", "data"),
		Peer:     r.Address("control", "peer"),
		Admin:    r.Address("control", "admin"),
		Secret:   r.String("control", "secret"),
		LogLevel: r.Optional("control", "log", "info"),
		Replicas: r.NamedAddresses("control", "replicas"),

		ElectionTimeout: r.Millis("timing", "electionTimeout", 1000, 50, 60_000),
		Heartbeat:       r.Millis("timing", "heartbeat", 150, 10, 10_000),
		Freshness:       r.Millis("timing", "freshness", 3000, 200, 60_000),
		RemoveAfter:     r.Millis("timing", "removeAfter", 60_000, 1000, 86_400_000),
		BootstrapWait:   r.Millis("timing", "foundingWait", 3000, 0, 600_000),
		RepairAfter:     r.Millis("timing", "repairAfter", 30_000, 1000, 86_400_000),
		Via:             r.Rewrites("debug", "via"),
		CompactAfter:    r.Int("timing", "compactAfter", 512, 8, 1_000_000),
	}
	return s, r.Check()
}

// nameOf returns the replica name that an ID starts with.
func nameOf(id string) string {
	n, _, _ := strings.Cut(id, ".")
	return n
}
