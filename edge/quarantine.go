package edge

import (
	"net"
	"net/http"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/poison"
)

// dialTarget opens and closes a connection to a target that may have crashed.
func dialTarget(addr string) error {
	n, err := net.DialTimeout("tcp", addr, poison.CrashDialTimeout.Duration())
	if err != nil {
		return err
	}
	return n.Close()
}

// setState passes a state of the control processes on.
func (h *Host) setState(now clock.Millis, s *catalog.State) {
	h.poison.SetListed(s.Suspects)
	h.view.setState(now, s)
}

// checkQuarantine refuses a quarantined request that may not be tried yet.
func (c *call) checkQuarantine() *refusal {
	if quarantined, wait := c.quarantined(); quarantined && wait > 0 {
		return quarantineRefusal(wait)
	}
	return nil
}

// beginTrial refuses a quarantined request unless the host gets the right to try it.
func (c *call) beginTrial() *refusal {
	if quarantined, _ := c.quarantined(); !quarantined {
		return nil
	}
	t, wait := c.host.poison.BeginTrial(c.fingerprint(), max(c.remaining(), 0))
	if t == nil {
		return quarantineRefusal(wait)
	}
	c.trial = t
	return nil
}

func quarantineRefusal(wait clock.Millis) *refusal {
	return &refusal{Quarantined, http.StatusServiceUnavailable, wait, "targets crashed while they ran it"}
}

// quarantined reports whether the request may be sent only as a trial, and the time until
// one may be asked for.
func (c *call) quarantined() (quarantined bool, wait clock.Millis) {
	d := c.host.poison
	if !d.Suspects() {
		return false, 0
	}
	return d.Quarantined(c.fingerprint())
}

// clearSuspicion clears a request that a target has answered.
func (c *call) clearSuspicion() {
	if d := c.host.poison; d.Suspects() || c.trial != nil {
		d.RecordResponse(c.fingerprint(), c.trial)
	}
}

// fingerprint identifies the request by its content and account: it is the same
// whenever the request is sent again. Of a long body it covers only the buffered
// part.
func (c *call) fingerprint() poison.Fingerprint {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	return poison.FingerprintOf(account, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
}
