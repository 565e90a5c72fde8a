// Package load generates the load of callers: they ask which hosts to use,
// keep the answer a while and connect to those.
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

// Account is one account's share of the load.
type Account struct {
	Name string
	Key  string
	// PerSecond is the rate at which requests are sent.
	PerSecond float64
	// RatePerMinute and Burst are what the account is entitled to.
	RatePerMinute int
	Burst         int
	Zone          string
	// Path is the path and query of the requests; the account and a number
	// are added.
	Path string
}

// Load is a number of accounts that send requests at fixed rates, whether
// earlier ones were answered or not.
type Load struct {
	// EntryHosts are hosts to ask for addresses.
	EntryHosts    []string
	Accounts []Account
	Seed     uint64
	// LatencyFor is the time from the start for which latencies are recorded,
	// 0 for all of it.
	LatencyFor time.Duration

	client *http.Client
}

// Result is what happened to one account.
type Result struct {
	Account  string                  `json:"account"`
	Sent     int                     `json:"sent"`
	OK       int                     `json:"ok"`
	Refused  map[refusal.Code]int    `json:"refused"`
	Failed   int                     `json:"failed"`
	Wrong    int                     `json:"wrongAnswers"`
	Entitled int                     `json:"entitled"`
	Latency  *hdrhistogram.Histogram `json:"-"`
	// ServedAt are the times of good answers in milliseconds since the start.
	ServedAt []int64 `json:"-"`
}

const (
	requestTimeout = 15 * time.Second
	// longestMicros is the longest latency recorded, in microseconds.
	longestMicros = 60_000_000
	digits        = 3
	idlePerHost   = 64
)

// Run sends the load for a time and returns the results by account.
func (l *Load) Run(c context.Context, d time.Duration) []*Result {
	l.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}
	defer l.client.CloseIdleConnections()
	var w sync.WaitGroup
	r := make([]*Result, len(l.Accounts))
	for i := range l.Accounts {
		s := &sender{load: l, account: l.Accounts[i], result: newResult(l.Accounts[i].Name), start: time.Now(), end: time.Now().Add(d), pace: rand.New(rand.NewPCG(l.Seed, uint64(i))), random: rand.New(rand.NewPCG(l.Seed+1, uint64(i)))}
		r[i] = s.result
		w.Add(1)
		go s.run(c, &w)
	}
	w.Wait()
	return r
}

func newResult(name string) *Result {
	return &Result{Account: name, Refused: map[refusal.Code]int{}, Latency: hdrhistogram.New(1, longestMicros, digits)}
}

// sender sends the requests of one account.
type sender struct {
	load    *Load
	account Account
	result  *Result
	start   time.Time
	end     time.Time
	// pace is used by run alone, random under mu.
	pace *rand.Rand

	mu      sync.Mutex
	random  *rand.Rand
	hosts   frontend.Addresses
	askedAt time.Time
	level   float64
	levelAt time.Time
}

func (s *sender) run(c context.Context, w *sync.WaitGroup) {
	defer w.Done()
	var q sync.WaitGroup
	s.level, s.levelAt = float64(s.account.Burst), time.Now()
	next := time.Now()
	for n := 0; next.Before(s.end) && c.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		q.Add(1)
		r := &request{sender: s, number: n}
		go r.run(&q)
		gap := s.pace.ExpFloat64() / s.account.PerSecond
		next = next.Add(time.Duration(gap * float64(time.Second)))
	}
	q.Wait()
}

// entitle asks an ideal token bucket about a request sent now.
func (s *sender) entitle(now time.Time) {
	if s.account.RatePerMinute == 0 {
		return
	}
	s.level += now.Sub(s.levelAt).Minutes() * float64(s.account.RatePerMinute)
	s.level = min(s.level, float64(s.account.Burst))
	s.levelAt = now
	if s.level >= 1 {
		s.level--
		s.result.Entitled++
	}
}

// address returns the host to use, asking again when the answer is old.
func (s *sender) address(again bool) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := time.Since(s.askedAt) > s.hosts.Hold.Duration()
	if old || again || len(s.hosts.Addresses) == 0 {
		if err := s.ask(); err != nil && len(s.hosts.Addresses) == 0 {
			return "", err
		}
	}
	if len(s.hosts.Addresses) == 0 {
		return "", refusal.New(refusal.Unreachable, "no host answers")
	}
	return s.hosts.Addresses[s.random.IntN(len(s.hosts.Addresses))].Address, nil
}

// avoid leaves a host out that did not answer, until the next question.
func (s *sender) avoid(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hosts.Addresses) < 2 {
		return
	}
	s.hosts.Addresses = slices.DeleteFunc(slices.Clone(s.hosts.Addresses), func(a frontend.Address) bool { return a.Address == addr })
}

func (s *sender) ask() error {
	var last error
	for _, i := range s.random.Perm(len(s.load.EntryHosts)) {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.load.EntryHosts[i]+frontend.AddressPath+"?zone="+s.account.Zone, nil)
		if err != nil {
			return errors.Wrap(err, "load.ask")
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
			s.hosts, s.askedAt = a, time.Now()
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
	s.entitle(t)
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
		// Latencies above the longest are recorded as the longest.
		_ = s.result.Latency.RecordValue(min(time.Since(t).Microseconds(), longestMicros))
	}
}

// send sends the request, to another host where one does not accept the
// connection.
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
