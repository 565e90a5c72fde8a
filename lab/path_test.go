package lab_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/operator"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
)

var club = account{"club", 60_000, 200}

var _ = Describe("a fleet", func() {
	It("serves requests with a valid key and refuses others", func() {
		w := start(newFleet(4), 4, club)
		for _, n := range w.fleet.Names("host") {
			r := w.get(n, "/desk/status?echo=mine", w.keys["club"])
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.body.Echo).To(Equal("mine"))
		}
		w.expectRefusal(w.get("h1", "/desk/status", ""), refusal.KeyMissing)
		w.expectRefusal(w.get("h1", "/desk/status", "cwr_0000_1111"), refusal.KeyUnknown)
		w.expectRefusal(w.get("h1", "/nowhere", w.keys["club"]), refusal.RouteUnknown)

		id := keyID(w.keys["club"])
		w.edit(func(*config.State) []config.Edit { return []config.Edit{{WithdrawKey: id}} })
		for _, n := range w.fleet.Names("host") {
			// The client's connections were kept alive.
			w.expectRefusal(w.get(n, "/desk/status", w.keys["club"]), refusal.KeyWithdrawn)
		}
		w.checkTargets()
		w.checkHosts()
	})

	It("ends the requests in flight whose key is withdrawn", func() {
		w := start(newFleet(3), 3, club)
		done := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			done <- w.get("h1", "/desk/long?work=8000", w.keys["club"])
		}()
		w.await("the request runs", func() bool { return w.dump("h1").Grants == 1 })
		w.edit(func(*config.State) []config.Edit { return []config.Edit{{WithdrawKey: keyID(w.keys["club"])}} })
		var r response
		Eventually(done, "6s").Should(Receive(&r))
		Expect(r.refusal.Code).To(Equal(refusal.KeyWithdrawn))
		Expect(r.refusal.NotRun).To(BeFalse())
		w.checkHosts()
	})

	It("passes uploads and responses on unchanged, and each response to its own request", func() {
		w := start(newFleet(3), 4, club)
		body := bytes.Repeat([]byte("cross-section"), 200_000)
		sum := sha256.Sum256(body)
		r := w.send("h1", http.MethodPost, "/desk/upload", w.keys["club"], bytes.NewReader(body), nil)
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body.Received).To(Equal(int64(len(body))))
		Expect(r.body.Digest).To(Equal(hex.EncodeToString(sum[:])))

		var q sync.WaitGroup
		for i := 0; i < 300; i++ {
			q.Add(1)
			go func() {
				defer GinkgoRecover()
				defer q.Done()
				n := w.fleet.Names("host")[i%3]
				size := rand.New(rand.NewSource(int64(i))).Intn(200_000)
				r := w.get(n, fmt.Sprintf("/desk/x?work=%d&size=%d&echo=e%d", i%20, size, i), w.keys["club"])
				if r.status == http.StatusOK {
					Expect(r.body.Echo).To(Equal(fmt.Sprintf("e%d", i)))
					Expect(r.body.Padding).To(HaveLen(size))
					return
				}
				Expect(r.refusal.Code).NotTo(BeEmpty(), "%v", r.err)
			}()
		}
		q.Wait()
		w.checkTargets()
		w.checkHosts()
	})

	It("accepts one of several concurrent changes, and applies each change ID once", func() {
		w := start(newFleet(3), 2, club)
		k := w.fleet.Operator()
		s, err := k.Fetch()
		Expect(err).NotTo(HaveOccurred())
		change := func(i int) config.Change {
			z := config.Zone{Name: fmt.Sprintf("race%d", i)}
			return config.Change{ID: fmt.Sprintf("race-%d", i), Base: s.Version, Author: "test", Edits: []config.Edit{{PutZone: &z}}}
		}
		const racers = 8
		won := make([]error, racers)
		var q sync.WaitGroup
		for i := range won {
			q.Add(1)
			go func() {
				defer q.Done()
				_, won[i] = w.fleet.Operator().Submit(change(i))
			}()
		}
		q.Wait()
		winner, wins := -1, 0
		for i, err := range won {
			if err == nil {
				winner, wins = i, wins+1
			}
		}
		Expect(wins).To(Equal(1))
		for i, err := range won {
			if i == winner {
				continue
			}
			x, ok := err.(*refusal.Refusal)
			Expect(ok).To(BeTrue(), "%v", err)
			Expect(x.Code).To(Equal(refusal.VersionConflict))
			Expect(x.Detail).To(ContainSubstring(fmt.Sprintf("race-%d", winner)))
		}
		p, err := k.Submit(change(winner))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Outcome.Version).To(Equal(s.Version + 1))
		n, err := k.Fetch()
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Version).To(Equal(s.Version + 1))
		w.checkHosts()
	})

	It("refuses invalid input and keeps serving", func() {
		w := start(newFleet(3), 2, club)
		a := "http://" + w.fleet.Processes["h1"].Admin + "/targets/t"
		for _, body := range []string{"", "{", `{"target":"t"}`, `{"nonsense":1}`, `{"target":"u","service":"desk"}`} {
			q, err := http.NewRequest(http.MethodPut, a, bytes.NewReader([]byte(body)))
			Expect(err).NotTo(HaveOccurred())
			q.Header.Set("Authorization", "Bearer lab-secret")
			p, err := w.http.Do(q)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.StatusCode).To(Equal(http.StatusBadRequest))
			Expect(p.Body.Close()).To(Succeed())
		}
		_, err := w.fleet.Operator().Submit(config.Change{ID: "bad", Edits: []config.Edit{{PutAccount: &config.Account{Name: "no rate"}}}})
		x, ok := err.(*refusal.Refusal)
		Expect(ok).To(BeTrue())
		Expect(x.Code).To(Equal(refusal.InvalidChange))
		_, err = w.fleet.Operator().Edit("test", func(s *config.State) []config.Edit {
			return operator.New().Route("/lost", "nowhere").Diff(s)
		})
		x, ok = err.(*refusal.Refusal)
		Expect(ok).To(BeTrue())
		Expect(x.Code).To(Equal(refusal.InvalidChange))
		Expect(w.get("h1", "/desk/status", w.keys["club"]).status).To(Equal(http.StatusOK))
		w.checkHosts()
	})
})

func (w *testbed) expectRefusal(r response, code refusal.Code) {
	GinkgoHelper()
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.refusal.Code).To(Equal(code))
	Expect(r.refusal.NotRun).To(BeTrue())
}

// keyID returns the ID within a key.
func keyID(key string) string {
	const prefix, size = len("cwr_"), 16
	return key[prefix : prefix+size]
}

// shardOf returns the shard of the tests' service.
func shardOf() int { return placement.ServiceShard("desk") }
