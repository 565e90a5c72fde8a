package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stoppedHost stops a host and then closes its connections, as the end of the
// process does.
type stoppedHost struct {
	host *Host
	done chan struct{}
}

func (s *stoppedHost) run() {
	s.host.Stop()
	s.host.server.Close()
	close(s.done)
}

// timedCaller sends one request at a time after the signal, and records its status,
// 0 if it got no response.
type timedCaller struct {
	url    string
	after  time.Duration
	status int
}

func (t *timedCaller) run(all *sync.WaitGroup) {
	defer all.Done()
	time.Sleep(t.after)
	x, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(x, http.MethodPost, t.url, strings.NewReader("body"))
	if err != nil {
		return
	}
	q.Host, q.Close = "h", true
	q.Header.Set("Key", "k1")
	q.Header.Set("Req-Id", "r1")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return
	}
	defer r.Body.Close()
	if _, err = io.Copy(io.Discard, r.Body); err == nil {
		t.status = r.StatusCode
	}
}

var _ = Describe("a planned stop", func() {
	// Guards against unsafe requests that are passed on in the first seconds after
	// the signal, run at a target, and are cut off when the process ends.
	It("interrupts no request that takes longer than the rest of the grace period", func() {
		t := newStandin("t1", ok)
		t.delay = 3500 * time.Millisecond
		w := newTestHost(t)
		w.host.Settings.Grace = 6000
		c, _ := w.host.view.current(w.host.Clock.Now())
		c.Routes[1].Timeout = 4000
		w.host.Settings.MaxConfigAge, w.host.Settings.MaxRefusalAge = 60_000, 60_000
		send := func(after ...int) []int {
			var all sync.WaitGroup
			var l []*timedCaller
			for _, at := range after {
				l = append(l, &timedCaller{url: w.server.URL + "/unsafe/", after: time.Duration(at) * time.Millisecond})
				all.Add(1)
				go l[len(l)-1].run(&all)
			}
			all.Wait()
			var got []int
			for _, s := range l {
				got = append(got, s.status)
			}
			return got
		}
		Expect(send(0, 0, 0, 0, 0, 0)).To(HaveEach(200))
		s := &stoppedHost{w.host, make(chan struct{})}
		go s.run()
		got := send(0, 1000, 2400, 2450, 2500, 2550, 2600, 2650, 4000, 5200)
		Eventually(s.done, 10*time.Second).Should(BeClosed())
		Expect(got).To(Equal([]int{200, 200, 503, 503, 503, 503, 503, 503, 503, 503}))
		Expect(t.requests()).To(Equal(8))
	})
})
