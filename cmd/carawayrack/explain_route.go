package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/routing"
)

const usageExplainRoute = "prints how a running host would route a request, without sending it: explain-route -metrics IP:PORT -host NAME -path PATH"

func runExplainRoute(args []string) int {
	f := command.Flags("explain-route", usageExplainRoute)
	metrics := f.String("metrics", "127.0.0.1:9180", "metrics address of the host")
	key := f.String("key", "", "key of the caller; -account does not show it to other users of the machine")
	q := url.Values{}
	for name, usage := range map[string]string{
		"host": "host name of the request", "path": "path of the request", "method": "method of the request, GET if empty",
		"account": "name of the caller's account", "zone": "zone of the caller for the directory, that of the host if empty",
	} {
		f.Func(name, usage, func(v string) error { q.Set(name, v); return nil })
	}
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	b, err := fetchRoute(*metrics, *key, q)
	if err != nil {
		return command.Fail(err)
	}
	if _, err := os.Stdout.Write(b); err != nil {
		return command.Fail(err)
	}
	return command.OK
}

// fetchRoute returns the explanation of a host as indented JSON. For any status other
// than 200 the error is a BadRequest refusal with the body.
func fetchRoute(addr, key string, q url.Values) ([]byte, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/route?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if key != "" {
		r.Header.Set(routing.ExplainKeyHeader, key)
	}
	c := &http.Client{Timeout: adminTimeout}
	a, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		return nil, refusal.New(refusal.BadRequest, string(bytes.TrimSpace(b)))
	}
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
