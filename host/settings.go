package host

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/settings"
)

// Settings are the settings of an entry host.
type Settings struct {
	ID   string
	Zone string
	// Callers, Peer and Admin are the addresses to listen on.
	Callers  string
	Peer     string
	Admin    string
	Secret   string
	LogLevel string
	// Control lists the addresses of the control replicas.
	Control []string
	// Seeds lists the addresses of hosts to gossip with before the roster is
	// known.
	Seeds []string

	// Freshness is the greatest age of a proof that the configuration is fresh.
	// Without a younger proof the configuration counts as stale.
	Freshness clock.Millis
	// Interval is the time between two exchanges of configuration updates.
	Interval clock.Millis
	// AddressHold is the time for which callers may cache the addresses of
	// hosts. A stopping host keeps serving for that long.
	AddressHold clock.Millis
	// TokenWait is the maximum time for which a request waits for the account's
	// rate to allow a token.
	TokenWait clock.Millis
	// SearchTimeout is the maximum time to search for a shard's leaseholder.
	SearchTimeout clock.Millis
	Leaseholder   leaseholder.Options
	// PanicOnViolation ends the process when an invariant is violated.
	PanicOnViolation bool
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
		ID:       r.String("host", "id"),
		Zone:     r.String("host", "zone"),
		Callers:  r.Address("host", "callers"),
		Peer:     r.Address("host", "peer"),
		Admin:    r.Address("host", "admin"),
		Secret:   r.String("host", "secret"),
		LogLevel: r.Optional("host", "log", "info"),
		Control:  r.Addresses("fleet", "control"),
		Seeds:    r.Addresses("fleet", "seeds"),

		Freshness:     r.Millis("timing", "freshness", 3000, 200, 60_000),
		Interval:      r.Millis("timing", "interval", 250, 10, 10_000),
		AddressHold:   r.Millis("timing", "addressHold", 5000, 100, 600_000),
		TokenWait:     r.Millis("timing", "tokenWait", 200, 0, 10_000),
		SearchTimeout: r.Millis("timing", "patience", 4000, 100, 60_000),

		Via:              r.Rewrites("debug", "via"),
		PanicOnViolation: r.Int("debug", "panicOnViolation", 0, 0, 1) == 1,
	}
	s.Leaseholder = leaseholder.Options{
		Lease:        r.Millis("timing", "lease", 1000, 100, 60_000),
		DriftPercent: r.Int("timing", "driftPercent", 5, 0, 50),
		TokenLife:    r.Millis("timing", "tokenLife", 800, 50, 60_000),
		HostLapse:    r.Millis("timing", "hostLapse", 3000, 200, 600_000),
		Retention:    r.Millis("timing", "retention", 900_000, 1000, 86_400_000),
	}
	return s, r.Check()
}
