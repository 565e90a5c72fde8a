// Command 12 sends a request that crashes the instances that run it, again and again.
package main

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
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
	crash := func(r *http.Request) bool { return trial3.Trouble() && strings.HasPrefix(r.URL.Path, "/r/poison") }
	for _, id := range []string{"i-1", "i-2"} {
		x := &trial3.Instance{ID: id, Service: "svc", Zone: "zone-a", Slots: 4, Work: 20 * time.Millisecond, Crash: crash, Back: 3 * time.Second}
		if err := f.AddInstance(x); err != nil {
			rec.Say("cannot start: %v", err)
			return trial3.NotRun
		}
	}
	services := []map[string]any{trial3.Service("svc")}
	routes := []map[string]any{trial3.Route("r", "/r/", "unsafe", "svc", 1500, false)}
	if _, err := f.Configure(trial3.Config(1, services, []map[string]any{trial3.Tenant("t", 500, 500, "key")}, routes)); err != nil {
		rec.Say("%v", err)
		return trial3.NotRun
	}
	c := f.NewClient()
	if err := c.Await("POST", "/r/ok", "key", 200); err != nil {
		rec.Say("%v", err)
		return trial3.NotRun
	}
	end := time.Now().Add(60 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		c.Send(f.Edges[i%2], "POST", "/r/poison", "key", nil, time.Second)
		time.Sleep(2 * time.Second)
	}
	var at []time.Time
	for _, r := range f.AllRuns() {
		if r.Path == "/r/poison" {
			at = append(at, r.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	late := 0
	for _, a := range at {
		if len(at) >= 3 && a.Sub(at[2]) > 3*time.Second {
			late++
		}
	}
	rec.Say("the request ran %d times, %d of them more than contactMs after the third", len(at), late)
	if len(at) < 3 {
		return trial3.NotRun
	}
	if trial3.Trouble() && late > 3 {
		return trial3.Broken
	}
	return trial3.Held
}
