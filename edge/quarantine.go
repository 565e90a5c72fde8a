package edge

import (
	"net"
	"net/http"

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

// checkQuarantine refuses a quarantined request. It returns nil if the request may be
// sent to a target.
func (c *call) checkQuarantine() *refusal {
	d := c.host.poison
	if !d.Suspects() {
		return nil
	}
	q := d.QuarantineLeft(c.fingerprint())
	if q == 0 {
		return nil
	}
	return &refusal{Quarantined, http.StatusServiceUnavailable, q, "targets crashed while they ran it"}
}

// clearSuspicion clears a request that a target has answered.
func (c *call) clearSuspicion() {
	if d := c.host.poison; d.Suspects() {
		d.RecordResponse(c.fingerprint())
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
