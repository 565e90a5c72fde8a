package main

import (
	"context"
	"net/http"
	"time"
)

func init() { cases["path"] = pathCase }

// pathCase sends requests on an unsafe route whose path has an encoded slash.
// Decoded it would begin with the prefix of a safe route, as sent it does not.
// Meanwhile instances lose answers. The rule is broken if such a request runs
// more than once.
func pathCase(r *run) (bool, error) {
	const (
		// encoded begins with /file/ and not with /file/list/.
		encoded = "/file/list%2F50"
		limit   = 4 * time.Second
		// lossFor is how long answers are lost.
		lossFor = 4 * time.Second
	)
	routes := []route{
		{"/file/", "unsafe", limit, map[string]int{"alpha": 1}},
		{"/file/list/", "safe", limit, map[string]int{"alpha": 1}},
	}
	w, err := newWorld(r, 4, map[string]int{"alpha": 3}, routes)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	from := time.Now()
	loads := map[string]*load{}
	for _, z := range zones {
		loads[z] = &load{clients: w.clients[z], method: http.MethodPost, path: encoded, pause: 100 * time.Millisecond, limit: limit}
		loads[z].start(ctx)
	}
	time.Sleep(contact)
	if r.trouble {
		r.note("instances lose answers from here on")
		w.servers.loseAnswers(true)
	}
	time.Sleep(lossFor)
	w.servers.loseAnswers(false)
	r.note("instances lose no more answers")
	time.Sleep(contact)
	stop()
	time.Sleep(limit)
	runs := map[string]int{}
	for _, a := range w.servers.runs(from) {
		runs[a.attempt]++
	}
	n := 0
	for id, k := range runs {
		if k > 1 {
			r.printf("request %s ran %d times", id, k)
			n++
		}
	}
	r.note("%d of %d requests on the unsafe route ran more than once", n, len(runs))
	return n > 0, nil
}
