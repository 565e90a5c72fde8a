// Package load generates load as callers do: they request the addresses of
// hosts, use them for the time that the response allows, and send requests to
// these hosts.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/frontend"
	"github.com/carawayrack/carawayrack/refusal"
)

// Account describes the load of one account.
type Account struct {
	Name string
	Key  string
	// PerSecond is the mean rate at which requests are sent; gaps are
	// exponentially distributed.
	PerSecond float64
	// RatePerMinute and Burst are the account's limit. With rate 0,
	// Result.Entitled is not counted.
	RatePerMinute int
	Burst         int
	Zone          string
	// Path is the path of the requests. It must contain a query, to which the
	// parameters account and echo are appended.
	Path string
}

// Load sends requests for several accounts at given rates, without waiting for
// earlier responses (open loop).
type Load struct {
	// EntryHosts holds addresses of hosts to request the host list from.
	EntryHosts []string
	Accounts   []Account
	Seed       uint64
	// LatencyFor is the time from the start for which latencies are recorded,
	// 0 for all of it.
	LatencyFor time.Duration

	client *http.Client
}

// Result counts the requests of one account by outcome. Failed counts requests
// without a complete response, Wrong those with status 200 and another echo than
// the one sent. Refused counts the other responses by refusal code, or by
// "status" and the status code if the body has no refusal code. Entitled is the
// number of requests that an ideal token bucket with the account's limit would
// have admitted.
type Result struct {
	Account  string                  `json:"account"`
	Sent     int                     `json:"sent"`
	OK       int                     `json:"ok"`
	Refused  map[refusal.Code]int    `json:"refused"`
	Failed   int                     `json:"failed"`
	Wrong    int                     `json:"wrongAnswers"`
	Entitled int                     `json:"entitled"`
	Latency  *hdrhistogram.Histogram `json:"-"`
	// ServedAt holds the times of correct responses in milliseconds since the
	// start.
	ServedAt []int64 `json:"-"`
}

const (
	requestTimeout = 15 * time.Second
	// maxLatencyMicros is the longest latency recorded; longer ones are
	// recorded as this.
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	idlePerHost       = 64
)

// Run sends the load for a time, waits for the last responses and returns one
// result for each account, in the order of Accounts.
func (l *Load) Run(c context.Context, d time.Duration) []*Result {
	l.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}
	defer l.client.CloseIdleConnections()
	var w sync.WaitGroup
	r := make([]*Result, len(l.Accounts))
	for i := range l.Accounts {
		s := &sender{load: l, account: l.Accounts[i], result: newResult(l.Accounts[i].Name), start: time.Now(), end: time.Now().Add(d), gapRandom: rand.New(rand.NewPCG(l.Seed, uint64(i))), random: rand.New(rand.NewPCG(l.Seed+1, uint64(i)))}
		r[i] = s.result
		w.Add(1)
		go s.run(c, &w)
	}
	w.Wait()
	return r
}

func newResult(name string) *Result {
	return &Result{Account: name, Refused: map[refusal.Code]int{}, Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// sender sends the requests of one account.
type sender struct {
	load    *Load
	account Account
	result  *Result
	start   time.Time
	end     time.Time
	// gapRandom generates the gaps between requests. Unlike random it is not
	// guarded by mu, since only run uses it.
	gapRandom *rand.Rand

	mu          sync.Mutex
	random      *rand.Rand
	hosts       frontend.Addresses
	requestedAt time.Time
	tokens      float64
	refilledAt  time.Time
}

func (s *sender) run(c context.Context, w *sync.WaitGroup) {
	defer w.Done()
	var q sync.WaitGroup
	s.tokens, s.refilledAt = float64(s.account.Burst), time.Now()
	next := time.Now()
	for n := 0; next.Before(s.end) && c.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		q.Add(1)
		r := &request{sender: s, number: n}
		go r.run(&q)
		gap := s.gapRandom.ExpFloat64() / s.account.PerSecond
		next = next.Add(time.Duration(gap * float64(time.Second)))
	}
	q.Wait()
}

// countEntitled counts a request sent now as entitled if an ideal token bucket
// admits it. The caller holds mu.
func (s *sender) countEntitled(now time.Time) {
	if s.account.RatePerMinute == 0 {
		return
	}
	s.tokens += now.Sub(s.refilledAt).Minutes() * float64(s.account.RatePerMinute)
	s.tokens = min(s.tokens, float64(s.account.Burst))
	s.refilledAt = now
	if s.tokens >= 1 {
		s.tokens--
		s.result.Entitled++
	}
}

// address returns a random address from the host list. It requests the list
// again if it has expired or refresh is set, and keeps the old one if that fails.
func (s *sender) address(refresh bool) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := time.Since(s.requestedAt) > s.hosts.Hold.Duration()
	if old || refresh || len(s.hosts.Addresses) == 0 {
		if err := s.requestAddresses(); err != nil && len(s.hosts.Addresses) == 0 {
			return "", err
		}
	}
	if len(s.hosts.Addresses) == 0 {
		return "", refusal.New(refusal.Unreachable, "no host responds")
	}
	return s.hosts.Addresses[s.random.IntN(len(s.hosts.Addresses))].Address, nil
}

// avoid removes a host that did not respond from the host list, until the list
// is requested again. The last address stays.
func (s *sender) avoid(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hosts.Addresses) < 2 {
		return
	}
	s.hosts.Addresses = slices.DeleteFunc(slices.Clone(s.hosts.Addresses), func(a frontend.Address) bool { return a.Address == addr })
}

func (s *sender) requestAddresses() error {
	var last error
	for _, i := range s.random.Perm(len(s.load.EntryHosts)) {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.load.EntryHosts[i]+frontend.AddressPath+"?zone="+s.account.Zone, nil)
		if err != nil {
			return errors.Wrap(err, "load.requestAddresses")
		}
		r.Header.Set("Authorization", "Bearer "+s.account.Key)
		p, err := s.load.client.Do(r)
		if err != nil {
			last = err
			continue
		}
		var a frontend.Addresses
		err = json.NewDecoder(p.Body).Decode(&a)
		_ = p.Body.Close()
		if err == nil && len(a.Addresses) > 0 {
			s.hosts, s.requestedAt = a, time.Now()
			return nil
		}
		last = err
	}
	return last
}

// request is one request of a caller.
type request struct {
	sender *sender
	number int
}

func (r *request) run(w *sync.WaitGroup) {
	defer w.Done()
	s := r.sender
	t := time.Now()
	s.mu.Lock()
	s.result.Sent++
	s.countEntitled(t)
	s.mu.Unlock()
	code, ok, err := r.send()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.result.Failed++
	case code != "":
		s.result.Refused[code]++
	case !ok:
		s.result.Wrong++
	default:
		s.result.OK++
		s.result.ServedAt = append(s.result.ServedAt, time.Since(s.start).Milliseconds())
		if f := s.load.LatencyFor; f > 0 && time.Since(s.start) > f {
			return
		}
		// The value is capped, so recording can't fail.
		_ = s.result.Latency.RecordValue(min(time.Since(t).Microseconds(), maxLatencyMicros))
	}
}

// send sends the request, and up to two more times if there is no complete
// response: the second time to another host if the host list has one, the third
// time to any host, after requesting the host list again.
func (r *request) send() (code refusal.Code, ok bool, err error) {
	for try := 0; try < 3; try++ {
		var a string
		if a, err = r.sender.address(try > 1); err != nil {
			continue
		}
		code, ok, err = r.sendTo(a)
		if err == nil {
			return code, ok, nil
		}
		r.sender.avoid(a)
	}
	return code, ok, err
}

func (r *request) sendTo(addr string) (refusal.Code, bool, error) {
	a := r.sender.account
	echo := fmt.Sprintf("%s-%d", a.Name, r.number)
	q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s&account=%s&echo=%s", addr, a.Path, a.Name, echo), nil)
	if err != nil {
		return "", false, errors.Wrap(err, "load.sendTo")
	}
	q.Header.Set("Authorization", "Bearer "+a.Key)
	p, err := r.sender.load.client.Do(q)
	if err != nil {
		return "", false, errors.Wrap(err, "load.sendTo")
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return "", false, errors.Wrap(err, "load.sendTo")
	}
	if p.StatusCode == http.StatusOK {
		var x struct{ Echo string }
		return "", json.Unmarshal(b, &x) == nil && x.Echo == echo, nil
	}
	var x refusal.Refusal
	if json.Unmarshal(b, &x) != nil || x.Code == "" {
		x.Code = refusal.Code(fmt.Sprintf("status%d", p.StatusCode))
	}
	return x.Code, false, nil
}
