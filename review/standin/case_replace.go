package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	catchUp  = 4 * time.Second
	recovery = 15 * time.Second
)

func init() { cases["replace"] = replaceCase }

// replaceCase replaces one of three core machines as planned: the new one starts
// first, and the old one is stopped once the new one has had catchUpS. A second
// later another core machine acknowledges a configuration, loses its disk and is
// back after a second. The rule is broken if that configuration cannot be read
// after recoveryS.
func replaceCase(r *run) (bool, error) {
	routes := []route{{"/read/", "safe", 1500 * time.Millisecond, map[string]int{"alpha": 1}}}
	w, err := newWorld(r, 4, map[string]int{"alpha": 2}, routes)
	if err != nil {
		return false, err
	}
	f := r.fleet
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	loads := w.reads(ctx)
	r.note("a core machine is added at a new address, with an empty disk")
	if err := f.start(f.spares[2], false); err != nil {
		return false, err
	}
	time.Sleep(catchUp + margin)
	old := f.cores[2]
	if err := f.signal(old, syscall.SIGTERM); err != nil {
		return false, err
	}
	<-old.ended
	r.note("%s has ended and is removed", old.name)
	w.useCores(f.cores[0], f.cores[1], f.spares[2])
	time.Sleep(time.Second)
	if _, err := w.operator.order(1, "configuration.replace", "", configuration(2, []string{"alpha"}, routes)); err != nil {
		return false, err
	}
	if r.trouble {
		lost, err := w.acknowledger()
		if err != nil {
			return false, err
		}
		if err := loseDisk(f, lost); err != nil {
			return false, err
		}
	}
	return !w.readsBack("r2", loads), nil
}

// useCores makes the operator and new settings name these core machines.
func (w *world) useCores(l ...*machine) {
	w.fleet.seeds = l
	w.operator.controls = nil
	for _, m := range l {
		w.operator.controls = append(w.operator.controls, w.fleet.control(m))
	}
}

// readsBack waits for recoveryS and reports whether then the configuration of a
// version is read back. It notes how many requests are served meanwhile.
func (w *world) readsBack(version string, loads []*load) bool {
	back := time.Now()
	time.Sleep(recovery)
	read := ""
	for end := time.Now().Add(2 * contact); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, a := range w.operator.controls {
			if v, err := readVersion(a); err != nil {
				w.printf("%s does not answer the read of the configuration: %v", a, err)
			} else {
				w.printf("%s answers the read of the configuration with %s", a, v)
				read = v
			}
		}
	}
	all, served := 0, 0
	for _, l := range loads {
		for _, x := range l.since(back.Add(recovery), back.Add(recovery+contact)) {
			all++
			if x.status == http.StatusOK {
				served++
			}
		}
	}
	w.note("acknowledged %s, read back %q; of %d requests sent later than %v after all machines were back, %d were served", version, read, all, recovery, served)
	return read == version
}

// acknowledger returns the core machine that acknowledged the last order.
func (w *world) acknowledger() (*machine, error) {
	for _, m := range w.fleet.seeds {
		if w.fleet.control(m) == w.operator.acknowledgedBy {
			return m, nil
		}
	}
	return nil, fmt.Errorf("no core machine has the address %s", w.operator.acknowledgedBy)
}

// reads starts a steady load of reads in all zones.
func (w *world) reads(ctx context.Context) []*load {
	var loads []*load
	for _, z := range zones {
		l := &load{clients: w.clients[z], method: http.MethodGet, path: "/read/50", pause: 100 * time.Millisecond, limit: 1500 * time.Millisecond}
		l.start(ctx)
		loads = append(loads, l)
	}
	return loads
}

// loseDisk kills the process of a core machine, empties its disk and starts it
// again at its address.
func loseDisk(f *fleet, m *machine) error {
	if err := f.signal(m, syscall.SIGKILL); err != nil {
		return err
	}
	<-m.ended
	if err := os.RemoveAll(f.data(m)); err != nil {
		return err
	}
	f.note("%s has lost its disk", m.name)
	time.Sleep(time.Second)
	return f.start(m, false)
}

// readVersion reads the configuration at a control process and returns its
// version.
func readVersion(addr string) (string, error) {
	b, err := post(addr, "configuration.read", "", nil)
	if err != nil {
		return "", err
	}
	var x struct {
		Version string `json:"version"`
	}
	if err := json.Unmarshal(b, &x); err != nil {
		return "", fmt.Errorf("the configuration cannot be parsed: %w", err)
	}
	return x.Version, nil
}
