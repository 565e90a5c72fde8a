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

// maxAnnouncement is the maximum size of an announcement in bytes.
const maxAnnouncement = 16 << 10

// handlers returns the handlers that this host adds to the administration
// interface, by pattern.
func (h *Host) handlers() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"PUT /targets/{name}":    h.putTarget,
		"DELETE /targets/{name}": h.deleteTarget,
		"GET /why/{subject...}":  h.findEvents,
	}
}

// putTarget receives the announcement of a target.
func (h *Host) putTarget(w http.ResponseWriter, r *http.Request) {
	h.announce(w, r, false)
}

// deleteTarget receives the withdrawal of a target.
func (h *Host) deleteTarget(w http.ResponseWriter, r *http.Request) {
	h.announce(w, r, true)
}

func (h *Host) announce(w http.ResponseWriter, r *http.Request, leave bool) {
	a, x := h.readAnnouncement(r)
	if x != nil {
		x.Write(w)
		return
	}
	h.broadcastAnnouncement(leaseholder.AnnounceArgs{Shard: placement.ServiceShard(a.Service), Announcement: a, Leave: leave})
	w.WriteHeader(http.StatusNoContent)
}

// broadcastAnnouncement sends an announcement to every member of the service's
// groups.
func (h *Host) broadcastAnnouncement(a leaseholder.AnnounceArgs) {
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
				h.announceOutbox.Send(x.Peer, a)
			}
		}
	}
}

// readAnnouncement reads and checks the announcement in a request.
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

// maxSlots is the maximum number of slots of a target.
const maxSlots = 100_000

// checkAnnouncement describes the first problem of an announcement. It returns ""
// if there is none.
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

// findEvents responds with the journal's events about a subject.
func (h *Host) findEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(h.journal.Find(r.PathValue("subject")))
}
