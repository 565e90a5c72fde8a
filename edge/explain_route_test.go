package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/routing"
)

// explain requests an explanation for a path as the command does.
func (w *testHost) explain(path, key, account string) routing.Explanation {
	q := url.Values{"host": {"h"}, "path": {path}}
	if account != "" {
		q.Set("account", account)
	}
	r := httptest.NewRequest(http.MethodGet, "/route?"+q.Encode(), nil)
	r.Header.Set(routing.ExplainKeyHeader, key)
	a := httptest.NewRecorder()
	w.host.ServeRoute(a, r)
	Expect(a.Code).To(Equal(200))
	var e routing.Explanation
	Expect(json.Unmarshal(a.Body.Bytes(), &e)).To(Succeed())
	return e
}

// usage returns what requests use up: slots, tokens, retries, hedges and places in the
// queue, and the number of kept objects.
func (w *testHost) usage() string {
	v := w.host.view
	// Only package token needs the accounts; reflection shows them as they are kept.
	accounts := reflect.ValueOf(w.host.tokens).Elem().FieldByName("accounts")
	s := fmt.Sprint(len(v.pools), len(v.queues), len(v.retryBudgets), accounts.Len(), w.tokensLeft, len(w.host.hedger.budgets))
	for n, p := range v.pools {
		for _, c := range p.Explain(0, balance.Request{}) {
			s += fmt.Sprint(n, c.ID, c.InFlight, c.SuccessesNeeded, c.PauseLeft, c.ObservedAge)
		}
	}
	for n, b := range v.retryBudgets {
		s += fmt.Sprint(n, b.Left())
	}
	for _, n := range accounts.MapKeys() {
		s += fmt.Sprintf("%s%+v", n, accounts.MapIndex(n).Elem())
	}
	for n, q := range v.queues {
		s += fmt.Sprint(n, q.Len())
	}
	return s + w.host.metrics.refusals.String() + w.host.metrics.attempts.String()
}

var _ = Describe("the explanation of a route", func() {
	It("follows the request without sending it, and takes nothing", func() {
		t := newStandin("t", ok)
		w := newTestHost(t)
		Expect(w.get("/safe/x").status).To(Equal(200))
		before := w.usage()
		e := w.explain("/safe/x", "k1", "")
		for range 200 {
			e = w.explain("/safe/x", "k1", "")
		}
		Expect(w.usage()).To(Equal(before))
		Expect(t.requests()).To(Equal(1))
		Expect(e.Refusal).To(BeNil())
		Expect(e.Route.Name).To(Equal("safe"))
		Expect(e.Route.TimeLimit).To(Equal(clock.Millis(2000)))
		Expect(e.Account.Name).To(Equal("acc"))
		Expect(e.Account.Source).NotTo(BeEmpty())
		Expect(e.Services).To(HaveLen(1))
		s := e.Services[0]
		Expect(s.Share).To(Equal(1.0))
		Expect(s.Refusal).To(BeNil())
		Expect(s.Wait).To(BeZero())
		Expect(s.Targets).To(HaveLen(1))
		Expect(s.Targets[0].Chosen).NotTo(BeEmpty())
		Expect(s.Targets[0].ObservedAge).To(BeNumerically(">=", 0))
		// The command may name the account instead of showing a key.
		Expect(w.explain("/safe/x", "", "acc").Account).To(HaveField("Name", "acc"))
	})

	// Guards against an explanation for a caller without a key in place of the account.
	It("says that an account without a key, or one that is gone, gets no request through", func() {
		w := newTestHost(newStandin("t", ok))
		w.configure(func(c *catalog.Config) {
			c.Accounts = append([]catalog.Account{{Name: "keyless", Keys: []string{""}}}, c.Accounts...)
		})
		for _, account := range []string{"gone", "keyless"} {
			Expect(w.explain("/open/x", "", account).Refusal).To(HaveField("Reason", string(UnknownKey)))
		}
		Expect(w.explain("/open/x", "", "acc").Account).To(HaveField("Name", "acc"))
		Expect(w.explain("/open/x", "", "").Refusal).To(BeNil())
	})

	It("creates nothing at a host that has served no request", func() {
		w := newTestHost(newStandin("t", ok))
		before := w.usage()
		Expect(w.explain("/safe/x", "k1", "").Services).To(HaveLen(1))
		w.host.view.config.Routes[0].Parts[0].Service = "without-targets"
		Expect(w.explain("/safe/x", "k1", "").Services[0].Refusal.Reason).To(Equal(string(TargetsFull)))
		Expect(w.usage()).To(Equal(before))
	})

	// Each case is also sent: both must give the same answer.
	DescribeTable("names the refusal that the request gets",
		func(path, key string, prepare func(*testHost), reason Reason) {
			w := newTestHost(newStandin("t", ok))
			prepare(w)
			e := w.explain(path, key, "")
			x := e.Refusal
			if x == nil && len(e.Services) > 0 {
				x = e.Services[0].Refusal
			}
			Expect(x).NotTo(BeNil())
			Expect(x.Reason).To(Equal(string(reason)))
			got := w.get(path, "Key", key)
			Expect(got.status).To(Equal(x.Status))
			Expect(got.body).To(ContainSubstring(string(reason)))
			Expect(got.header.Get("Retry-After") != "").To(Equal(x.RetryAfter > 0))
		},
		Entry("no route", "/none/", "k1", func(*testHost) {}, NoRoute),
		Entry("unknown key", "/safe/x", "k9", func(*testHost) {}, UnknownKey),
		Entry("no current configuration", "/safe/x", "k1", func(w *testHost) { w.host.Settings.MaxConfigAge = -1 }, ConfigNotCurrent),
		Entry("an account without tokens", "/safe/x", "k1", func(w *testHost) {
			w.host.tokens.Borrow = func(coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
				return coordinator.BorrowReply{Known: true, Wait: 5000}, nil
			}
			got, _ := w.host.tokens.Take(w.host.view.config.Account("acc"))
			Expect(got).To(BeFalse())
		}, OverQuota),
		Entry("targets that want a pause", "/safe/x", "k1", func(w *testHost) {
			w.host.view.heed(w.host.Clock.Now(), "s", "t", 1, balance.Notice{Pause: 60_000})
		}, TargetsPaused),
		Entry("targets that leave", "/safe/x", "k1", func(w *testHost) {
			w.host.view.heed(w.host.Clock.Now(), "s", "t", 1, balance.Notice{Leaving: true})
		}, TargetsLeaving),
		Entry("full targets", "/unsafe/x", "k1", func(w *testHost) {
			for range 12 {
				w.host.view.pool("s").Pick(w.host.Clock.Now(), balance.Request{})
			}
		}, TargetsFull),
	)

	It("of a request that is none is an error", func() {
		w := newTestHost()
		for _, q := range []string{"", "?host=h", "?host=h&path=x", "?host=h&path=/&method=A%20B"} {
			a := httptest.NewRecorder()
			w.host.ServeRoute(a, httptest.NewRequest(http.MethodGet, "/route"+q, nil))
			Expect(a.Code).To(Equal(400), q)
		}
	})
})
