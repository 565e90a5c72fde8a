package routing

import (
	"net/http"
	"net/url"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// ExplainKeyHeader is the header with the key of the caller in a request for an
// explanation. It is no parameter, since URLs are often logged.
const ExplainKeyHeader = "Explain-Key"

// Explanation says what a host would do with a request now. Ages are in
// milliseconds, -1 if unknown.
type Explanation struct {
	Configuration ConfigLine    `json:"configuration"`
	Route         *RouteLine    `json:"route,omitempty"`
	Account       *AccountLine  `json:"account,omitempty"`
	Directory     DirectoryLine `json:"directory"`
	// Services holds the service of the route, or all that share its requests.
	Services []ServiceLine `json:"services,omitempty"`
	// Refusal is set if the request would be refused whatever its service is.
	Refusal *RefusalLine `json:"refusal,omitempty"`
}

// ConfigLine says which configuration applies. Age is that of the proof that it is
// current, LimitAge the age at which the host refuses requests.
type ConfigLine struct {
	Version  uint64       `json:"version"`
	Age      clock.Millis `json:"ageMillis"`
	LimitAge clock.Millis `json:"limitAgeMillis"`
}

// RouteLine is the route of the request.
type RouteLine struct {
	Name      string       `json:"name"`
	Kind      catalog.Kind `json:"kind"`
	Prefix    string       `json:"prefix"`
	Priority  int          `json:"priority"`
	Attempts  int          `json:"attempts"`
	TimeLimit clock.Millis `json:"timeLimitMillis"`
	Objective clock.Millis `json:"objectiveMillis"`
}

// AccountLine is the account of the request. Held is the number of tokens that the host
// has borrowed, Source where the next one comes from: held, lender, lenderEmpty or
// withoutLender. LenderAge is the time since a control process last lent any, -1 if none
// has.
type AccountLine struct {
	Name      string       `json:"name"`
	Rate      float64      `json:"ratePerSecond"`
	Burst     float64      `json:"burst"`
	Held      int          `json:"heldTokens"`
	Source    string       `json:"source"`
	LenderAge clock.Millis `json:"lenderAgeMillis"`
}

// DirectoryLine is what the directory advises to callers of a zone, as old as the list
// of hosts.
type DirectoryLine struct {
	Zone      string       `json:"zone"`
	Addresses []string     `json:"addresses"`
	Age       clock.Millis `json:"ageMillis"`
}

// ServiceLine is a service of the route. Share is its part of the requests.
type ServiceLine struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// Waiting requests are in the queue, Ahead of them before this one. Wait estimates
	// the time until the request is sent, at most LongestWait: 0 if a target can take it.
	Waiting     int          `json:"waiting"`
	Ahead       int          `json:"ahead"`
	Wait        clock.Millis `json:"expectedWaitMillis"`
	LongestWait clock.Millis `json:"longestWaitMillis"`
	// RetriesLeft is the rest of the host's retry budget, HedgeLimit the share of the
	// service's requests that may be hedged, 0 if none is set.
	RetriesLeft float64             `json:"retriesLeft"`
	HedgeLimit  float64             `json:"hedgeLimit"`
	Targets     []balance.Candidate `json:"targets"`
	// Refusal is what the request would get now, or after LongestWait if AfterWait.
	Refusal *RefusalLine `json:"refusal,omitempty"`
}

// RefusalLine is a response of the host itself. RetryAfter is 0 if the response has none.
type RefusalLine struct {
	Reason     string       `json:"reason"`
	Status     int          `json:"status"`
	RetryAfter clock.Millis `json:"retryAfterMillis,omitempty"`
	Cause      string       `json:"cause"`
	AfterWait  bool         `json:"afterWait,omitempty"`
}

// ExplainedRequest returns the request that is to be explained as a caller would send it,
// by the parameters host, path and method, with a key in the header keyHeader unless it is
// empty. The error is that of an invalid path or method.
func ExplainedRequest(q url.Values, key, keyHeader string) (*http.Request, error) {
	method := q.Get("method")
	if method == "" {
		method = http.MethodGet
	}
	path := q.Get("path")
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	o, err := http.NewRequest(method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	o.Host, o.RequestURI, o.URL = q.Get("host"), path, u
	if key != "" {
		o.Header.Set(keyHeader, key)
	}
	return o, nil
}
