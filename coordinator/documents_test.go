package coordinator

import (
	"bytes"
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/replica"
)

// accounts returns a document of hundreds of accounts, one of which depends on
// the version.
func accounts(version int) []byte {
	r := rand.New(rand.NewSource(1))
	var b bytes.Buffer
	fmt.Fprintf(&b, "version %d ", version)
	for i := range 400 {
		rate := 20
		if i == version {
			rate = 5
		}
		fmt.Fprintf(&b, "account %x key %x rate %d ", r.Uint32(), r.Uint64(), rate)
	}
	return b.Bytes()
}

func applyChange(r *Replica, index uint64, c catalog.Change) {
	b, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	r.apply(replica.Entry{Index: index, Data: b})
}

// newStorm returns a replica to which n versions and as many announcements were
// applied by turns.
func newStorm(n int) *Replica {
	r := &Replica{state: catalog.New(nil), Log: zap.NewNop()}
	for i := range n {
		b, err := catalog.Compress(accounts(i + 1))
		Expect(err).NotTo(HaveOccurred())
		applyChange(r, uint64(2*i+1), catalog.Change{Document: b, Version: uint64(i + 1)})
		applyChange(r, uint64(2*i+2), catalog.Change{Targets: []catalog.Target{{ID: fmt.Sprint("t", i), Born: 1, Phase: catalog.Serving}}})
	}
	return r
}

// follow applies an update to a host's state.
func follow(s *catalog.State, u Update) int {
	n := len(u.State)
	for _, b := range u.Changes {
		n += len(b)
		c, err := catalog.DecodeChange(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Apply(c)).To(Succeed())
	}
	Expect(s.Sequence).To(Equal(u.Sequence))
	return n
}

var _ = Describe("an update", func() {
	for _, deltas := range []bool{false, true} {
		It(fmt.Sprintf("leads from any former state to the current one (deltas %v)", deltas), func() {
			const n = 12
			r := newStorm(n)
			for k := 1; k < n; k++ {
				s := newStorm(k).state
				follow(s, r.updateSince(s.Sequence, deltas))
				Expect(s.Version).To(Equal(r.state.Version))
				Expect(s.Targets).To(Equal(r.state.Targets))
				b, err := catalog.Decompress(s.Document)
				Expect(err).NotTo(HaveOccurred())
				Expect(b).To(Equal(accounts(n)))
			}
		})
	}

	It("is refused if it does not fit the host's document, and changes nothing", func() {
		r := newStorm(5)
		s := newStorm(2).state
		s.Version = 77
		u := r.updateSince(s.Sequence, true)
		refused := false
		for _, b := range u.Changes {
			c, err := catalog.DecodeChange(b)
			Expect(err).NotTo(HaveOccurred())
			c.Version += 100
			if c.Delta != nil {
				Expect(s.Apply(c)).NotTo(Succeed())
				refused = true
			}
		}
		Expect(refused).To(BeTrue())
		Expect(s.Version).To(Equal(uint64(77)))
	})

	It("skips an entry that cannot be read, and later ones keep their place", func() {
		r := newStorm(2)
		r.apply(replica.Entry{Index: 99, Data: []byte("not a change")})
		applyChange(r, 100, catalog.Change{Evacuate: "z"})
		s := newStorm(1).state
		follow(s, r.updateSince(s.Sequence, true))
		Expect(s.EvacuatedZones).To(HaveKey("z"))
	})

	// Configurations come in quick succession while links are narrow: ten versions
	// a second, which a host gets with its exchanges every 100 ms or, from a process
	// of another zone, less often.
	It("takes a small part of a narrow link in a storm of configurations", func() {
		const linkBytes = 250_000
		for _, every := range []int{1, 3, 10} {
			sent := 0
			s := newStorm(1).state
			for k := 1 + every; k <= 11; k += every {
				sent += follow(s, newStorm(k).updateSince(s.Sequence, true))
			}
			Expect(sent).To(BeNumerically("<", linkBytes/20), "every %d versions", every)
		}
	})
})
