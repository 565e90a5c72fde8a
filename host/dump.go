package host

import (
	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/usage"
)

// Dump is the state of a host as the administration interface returns it.
type Dump struct {
	Host        string               `json:"host"`
	Zone        string               `json:"zone"`
	Incarnation string               `json:"incarnation"`
	Stopping    bool                 `json:"stopping"`
	Current     bool                 `json:"configCurrent"`
	Sequence    uint64               `json:"sequence"`
	Version     uint64               `json:"version"`
	Digest      string               `json:"digest"`
	Alive       map[string]api.Flags `json:"alive"`
	Requests    int                  `json:"requestsUnderWay"`
	Grants      int                  `json:"grantsInUse"`
	Violations  int64                `json:"violations"`
	Usage       []usage.Row          `json:"usage"`
	Shards      []leaseholder.Dump   `json:"shards"`
	Journal     []journal.Event      `json:"journal"`
}

// dump returns the Dump of the host. Shards that do not respond within
// memberTimeout are left out.
func (h *Host) dump() any {
	s := h.config()
	d := Dump{
		Host: h.Settings.ID, Zone: h.Settings.Zone, Incarnation: h.incarnation, Stopping: h.stopping.Load(),
		Current: h.current(), Sequence: s.Sequence, Version: s.Version, Digest: s.Digest, Alive: h.alive(),
		Requests: h.frontend.InFlight(), Grants: h.ledger.InUse(), Violations: h.violations.Load(),
		Usage: h.usage.Rows(), Journal: h.journal.Find(""),
	}
	for _, p := range h.shards.all() {
		v, err := h.actors.Root.RequestFuture(p, &leaseholder.DumpRequest{}, memberTimeout.Duration()).Result()
		if k, ok := v.(leaseholder.Dump); ok && err == nil {
			d.Shards = append(d.Shards, k)
		}
	}
	return d
}
