package frontend

import (
	"net"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/config"
)

// keyedHost is a handler with an open and a closed route and an account with two keys, one
// of them withdrawn.
type keyedHost struct {
	handler          *Handler
	url              string
	state            *config.State
	holder           *leaseholderOf
	valid, withdrawn string
}

func newKeyedHost() *keyedHost {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	t := &earlyTarget{l, withLength(2) + "ok", false, make(chan int, 8)}
	go t.run()
	w := &keyedHost{state: newState(), holder: &leaseholderOf{target: t, tokens: 100}}
	w.state.Routes = map[string]config.Route{
		"/open": {Prefix: "/open", Service: "s", Open: true}, "/closed": {Prefix: "/closed", Service: "s"},
	}
	w.state.Accounts["a"] = config.Account{Name: "a", RatePerMinute: 60, Burst: 5}
	var k, old config.Key
	w.valid, k = config.NewKey("a")
	w.withdrawn, old = config.NewKey("a")
	old.Withdrawn = true
	w.state.Keys = map[string]config.Key{k.ID: k, old.ID: old}
	w.handler = newHandler(w.holder, func() *config.State { return w.state })
	x := httptest.NewServer(w.handler)
	DeferCleanup(x.Close)
	w.url = x.URL
	return w
}

// get sends a request and returns the status of the response.
func (w *keyedHost) get(path string, authorization ...string) int {
	q, err := http.NewRequest(http.MethodGet, w.url+path, nil)
	Expect(err).NotTo(HaveOccurred())
	if len(authorization) > 0 {
		q.Header["Authorization"] = authorization
	}
	r, err := http.DefaultClient.Do(q)
	Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	return r.StatusCode
}

var _ = Describe("a request without a route", func() {
	// Guards against hosts that deny routes before they have a configuration.
	It("is refused as unknown only by a host whose configuration is current", func() {
		w := newKeyedHost()
		Expect(w.get("/none", "Bearer "+w.valid)).To(Equal(http.StatusNotFound))
		w.handler.Current = func() bool { return false }
		Expect(w.get("/none", "Bearer "+w.valid)).To(Equal(http.StatusServiceUnavailable))
		w.state = config.New()
		Expect(w.get("/closed", "Bearer "+w.valid)).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("the API key of a request", func() {
	// Guards against a withdrawn key that is good as no key on an open route.
	It("must be valid on open routes too, where none is needed", func() {
		w := newKeyedHost()
		for _, path := range []string{"/open", "/closed"} {
			Expect(w.get(path, "Bearer "+w.valid)).To(Equal(200))
			Expect(w.get(path, "Bearer "+w.withdrawn)).To(Equal(401))
			Expect(w.get(path, "bearer "+w.withdrawn)).To(Equal(401))
			Expect(w.get(path, "Bearer cwr_0000_1111")).To(Equal(401))
			Expect(w.get(path, "Basic eDp5", "Bearer "+w.withdrawn)).To(Equal(401))
			Expect(w.get(path, "Bearer "+w.valid, "Bearer "+w.withdrawn)).To(Equal(401))
			Expect(w.get(path, "Bearer", "Bearer "+w.valid)).To(Equal(200))
		}
		Expect(w.get("/open")).To(Equal(200))
		Expect(w.get("/open", "Basic eDp5")).To(Equal(200), "another scheme has no key")
		Expect(w.get("/closed")).To(Equal(401))
	})

	It("stops working on open routes when its account is deleted", func() {
		w := newKeyedHost()
		Expect(w.get("/open", "Bearer "+w.valid)).To(Equal(200))
		n := *w.state
		n.Accounts, n.Keys = map[string]config.Account{}, map[string]config.Key{}
		w.state = &n
		Expect(w.get("/open", "Bearer "+w.valid)).To(Equal(401))
		Expect(w.get("/open")).To(Equal(200))
	})

	// Guards against requests on open routes that are outside of their account's limit.
	It("counts against its account's limit on open routes", func() {
		w := newKeyedHost()
		w.holder.tokens = 2
		for range 2 {
			Expect(w.get("/open", "Bearer "+w.valid)).To(Equal(200))
		}
		Expect(w.get("/open", "Bearer "+w.valid)).To(Equal(http.StatusTooManyRequests))
		Expect(w.get("/open")).To(Equal(200))
	})

	It("is not judged by a host whose configuration may not be current, which serves requests without one", func() {
		w := newKeyedHost()
		w.handler.Current = func() bool { return false }
		Expect(w.get("/open", "Bearer "+w.withdrawn)).To(Equal(http.StatusServiceUnavailable))
		Expect(w.get("/open")).To(Equal(200))
	})
})
