package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
)

// Group runs several targets of one service in one process. Its control
// interface serves GET /stats, PUT /targets/NAME/fault, and POST
// /targets/NAME/crash, /cold or /leave.
type Group struct {
	Service   string
	Zones     int
	Count     int
	Admin     []string
	Secret    string
	Slots     int
	ColdSlots int
	ColdFor   clock.Millis
	Work      clock.Millis
	// AnnouncedAddr maps the address of a target to the one it announces; nil
	// leaves it as it is.
	AnnouncedAddr func(addr string) string
	// Control is the address of the control interface, empty for none.
	Control string

	Targets []*Target
	server  *http.Server
}

// UnknownTarget is the error of a control request for a target that does not
// exist.
type UnknownTarget struct {
	Name string `json:"unknownTarget"`
}

// Error describes the failure.
func (e UnknownTarget) Error() string { return "unknown target " + e.Name }

// Run starts the targets and the control interface. It returns an error if an
// address can't be listened on; targets already started keep running.
func (g *Group) Run() error {
	for i := 0; i < g.Count; i++ {
		t := &Target{
			Name: fmt.Sprintf("%s-%d", g.Service, i+1), Service: g.Service, Zone: fmt.Sprintf("z%d", i%g.Zones+1),
			Admin: g.Admin, Secret: g.Secret, Slots: g.Slots, ColdSlots: g.ColdSlots, ColdFor: g.ColdFor, Work: g.Work,
			AnnouncedAddr: g.AnnouncedAddr,
		}
		if err := t.Run(); err != nil {
			return err
		}
		g.Targets = append(g.Targets, t)
	}
	if g.Control == "" {
		return nil
	}
	return g.listen()
}

func (g *Group) listen() error {
	l, err := net.Listen("tcp", g.Control)
	if err != nil {
		return errors.Wrap(err, "standin.listen")
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /stats", g.getStats)
	m.HandleFunc("PUT /targets/{name}/fault", g.putFault)
	m.HandleFunc("POST /targets/{name}/{what}", g.postAction)
	g.server = &http.Server{Handler: m}
	r := &runner{g.server, l}
	go r.run()
	return nil
}

// Total returns the sums of the counts of all targets, and the maxima of
// MaxRunning and MaxConnections.
func (g *Group) Total() Stats {
	s := Stats{Executions: map[string]int{}}
	for _, t := range g.Targets {
		x := t.Stats()
		s.Served += x.Served
		s.MaxRunning = max(s.MaxRunning, x.MaxRunning)
		s.OverCapacity += x.OverCapacity
		s.OverCapacityUnannounced += x.OverCapacityUnannounced
		s.MaxConnections = max(s.MaxConnections, x.MaxConnections)
		s.KeysSeen += x.KeysSeen
		s.AfterLeave += x.AfterLeave
		s.PartialUploads += x.PartialUploads
		s.Crashes += x.Crashes
		for k, v := range x.Executions {
			s.Executions[k] += v
		}
		s.Arrivals = append(s.Arrivals, x.Arrivals...)
	}
	return s
}

// Find returns a target by name, nil if there is none.
func (g *Group) Find(name string) *Target {
	for _, t := range g.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (g *Group) getStats(w http.ResponseWriter, _ *http.Request) {
	m := map[string]Stats{"total": g.Total()}
	for _, t := range g.Targets {
		m[t.Name] = t.Stats()
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have closed the connection.
	_ = json.NewEncoder(w).Encode(m)
}

func (g *Group) putFault(w http.ResponseWriter, r *http.Request) {
	t := g.Find(r.PathValue("name"))
	if t == nil {
		refuse(w, UnknownTarget{r.PathValue("name")})
		return
	}
	var f Fault
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if d.Decode(&f) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.SetFault(f)
}

func (g *Group) postAction(w http.ResponseWriter, r *http.Request) {
	t := g.Find(r.PathValue("name"))
	if t == nil {
		refuse(w, UnknownTarget{r.PathValue("name")})
		return
	}
	switch r.PathValue("what") {
	case "crash":
		t.Crash()
	case "cold":
		t.RestartColdSilently()
	case "leave":
		t.Leave()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func refuse(w http.ResponseWriter, e UnknownTarget) {
	w.WriteHeader(http.StatusNotFound)
	// The client may have closed the connection.
	_ = json.NewEncoder(w).Encode(e)
}

// Close stops the targets and the control interface.
func (g *Group) Close() {
	for _, t := range g.Targets {
		t.Close()
	}
	if g.server != nil {
		_ = g.server.Close()
	}
}
