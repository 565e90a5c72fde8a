package host

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/slots"
)

const maxAnnouncement = 16 << 10

// handlers are the paths of the administration interface.
func (h *Host) handlers() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"PUT /targets/{name}":    h.putTarget,
		"DELETE /targets/{name}": h.deleteTarget,
		"GET /why/{subject...}":  h.why,
	}
}

// putTarget takes in an announcement.
func (h *Host) putTarget(w http.ResponseWriter, r *http.Request) {
	h.announce(w, r, false)
}

// deleteTarget takes in the withdrawal of a target.
func (h *Host) deleteTarget(w http.ResponseWriter, r *http.Request) {
	h.announce(w, r, true)
}

func (h *Host) announce(w http.ResponseWriter, r *http.Request, leave bool) {
	a, x := h.readAnnouncement(r)
	if x != nil {
		x.Write(w)
		return
	}
	h.spreadAnnouncement(leaseholder.AnnounceArgs{Shard: placement.ServiceShard(a.Service), Announcement: a, Leave: leave})
	w.WriteHeader(http.StatusNoContent)
}

// spreadAnnouncement passes an announcement on to every member of the
// service's group.
func (h *Host) spreadAnnouncement(a leaseholder.AnnounceArgs) {
	sent := map[string]bool{}
	for _, g := range placement.Groups(h.config(), a.Shard) {
		for _, id := range g {
			if sent[id] {
				continue
			}
			sent[id] = true
			if id == h.Settings.ID {
				// Announce never fails.
				_ = (&ShardService{h.shards}).Announce([]leaseholder.AnnounceArgs{a}, nil)
				continue
			}
			if x, ok := h.find(id); ok {
				h.announces.Send(x.Peer, a)
			}
		}
	}
}

func (h *Host) readAnnouncement(r *http.Request) (slots.Announcement, *refusal.Refusal) {
	var a slots.Announcement
	d := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, refusal.New(refusal.BadRequest, "announcement: "+err.Error())
	}
	if a.Target != r.PathValue("name") {
		return a, refusal.New(refusal.BadRequest, "the target is not the one of the path")
	}
	if p := checkAnnouncement(a); p != "" {
		return a, refusal.New(refusal.BadRequest, p)
	}
	if _, ok := h.config().Services[a.Service]; !ok {
		return a, refusal.New(refusal.RouteUnknown, "unknown service "+a.Service)
	}
	return a, nil
}

const maxSlots = 100_000

func checkAnnouncement(a slots.Announcement) string {
	host, _, err := net.SplitHostPort(a.Addr)
	switch {
	case a.Target == "" || len(a.Target) > 200:
		return "target: expected 1 to 200 characters"
	case err != nil || net.ParseIP(host) == nil:
		return fmt.Sprintf("addr %q: expected IP:PORT", a.Addr)
	case a.Incarnation == "":
		return "incarnation: expected a text"
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Sprintf("slots %d: expected 1 to %d", a.Slots, maxSlots)
	case a.ColdSlots < 0 || a.ColdSlots > a.Slots:
		return fmt.Sprintf("coldSlots %d: expected 0 to %d", a.ColdSlots, a.Slots)
	case a.State != slots.Ready && a.State != slots.Cold && a.State != slots.Leaving:
		return fmt.Sprintf("state %q: expected ready, cold or leaving", a.State)
	}
	return ""
}

// why answers with the journal's events about a subject.
func (h *Host) why(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The operator may have gone away.
	_ = json.NewEncoder(w).Encode(h.journal.Find(r.PathValue("subject")))
}
