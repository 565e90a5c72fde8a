// Command 14 sends a configuration in which two tenants share a key, and one with an empty host.
package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/review/trial3"
)

func main() { os.Exit(run()) }

func run() int {
	rec, err := trial3.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return trial3.NotRun
	}
	f, err := trial3.Start(rec, 3, 2, "zone-a")
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		rec.Say("cannot start: %v", err)
		return trial3.NotRun
	}
	for _, id := range []string{"i-1", "i-2"} {
		if err := f.AddInstance(&trial3.Instance{ID: id, Service: "svc", Zone: "zone-a", Slots: 20, Work: 5 * time.Millisecond}); err != nil {
			rec.Say("cannot start: %v", err)
			return trial3.NotRun
		}
	}
	services := []map[string]any{trial3.Service("svc")}
	routes := []map[string]any{trial3.Route("r", "/r/", "safe", "svc", 1500, false)}
	probe, tenant := trial3.Tenant("probe", 500, 500, "key-probe"), trial3.Tenant("t", 10, 10, "key-t")
	if _, err := f.Configure(trial3.Config(1, services, []map[string]any{probe, tenant}, routes)); err != nil {
		rec.Say("%v", err)
		return trial3.NotRun
	}
	c := f.NewClient()
	if err := c.Await("GET", "/r/probe", "key-probe", 200); err != nil {
		rec.Say("%v", err)
		return trial3.NotRun
	}
	before := served(f, c)
	// The second block has the name of the first, as after a copy in an editor.
	second := trial3.Tenant("other", 1000, 1000, "key-other")
	if trial3.Trouble() {
		second = trial3.Tenant("t", 1000, 1000, "key-t")
	}
	status := f.Order(trial3.Config(2, services, []map[string]any{probe, tenant, second}, routes))
	time.Sleep(2500 * time.Millisecond)
	after := served(f, c)
	version := readVersion(f)
	empty := 0
	if trial3.Trouble() {
		// A further host, with an empty name and no paths.
		third := trial3.Config(3, services, []map[string]any{probe, tenant}, routes)
		third["hosts"] = append(third["hosts"].([]map[string]any), map[string]any{"host": "", "paths": []map[string]any{}})
		empty = f.Order(third)
		rec.Say("a configuration with an empty host got %d", empty)
	}
	rec.Say("the second configuration got %d; read back: %s; of 60 requests with the key ran %d before it and %d after it", status, version, before, after)
	if !trial3.Trouble() {
		if status != 200 || version != "r2" {
			return trial3.NotRun
		}
		return trial3.Held
	}
	if status/100 == 2 || version == "r2" || empty/100 == 2 {
		return trial3.Broken
	}
	return trial3.Held
}

// served sends 60 requests of the tenant at once and returns how many ran.
func served(f *trial3.Fleet, c *trial3.Client) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	for k := range 60 {
		wg.Go(func() {
			a := c.Send(f.Edges[k%2], "GET", "/r/x", "key-t", nil, time.Second)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == 200 {
				n++
			}
		})
	}
	wg.Wait()
	return n
}

func readVersion(f *trial3.Fleet) string {
	var d struct {
		Version string `json:"version"`
	}
	_ = json.Unmarshal(f.Read(), &d)
	return d.Version
}
