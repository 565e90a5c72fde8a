package coordinator

import (
	"bytes"
	"encoding/gob"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fleetOf returns a list of n hosts of which some are left out.
func fleetOf(n int, without ...int) *Fleet {
	f := &Fleet{Cores: []Core{{"c1", "z1"}}}
	out := map[int]bool{}
	for _, i := range without {
		out[i] = true
	}
	for i := range n {
		if !out[i] {
			f.Hosts = append(f.Hosts, Host{ID: fmt.Sprintf("frontend-zone-%03d", i), Zone: fmt.Sprintf("zone-%d", i%6), Callers: "10.1.0.5:8405", Peer: "10.1.0.5:7660", Narrow: true})
		}
	}
	sortHosts(f.Hosts)
	f.Digest = digest(f.Hosts, f.Cores)
	return f
}

func sizeOf(v any) int {
	var b bytes.Buffer
	Expect(gob.NewEncoder(&b).Encode(v)).To(Succeed())
	return b.Len()
}

var _ = Describe("a change of the fleet", func() {
	It("leads from one list to the other", func() {
		a, b := fleetOf(20, 3, 4), fleetOf(21, 7)
		b.Hosts[0].Callers = "10.9.9.9:1"
		b.Cores = []Core{{"c1", "z1"}, {"c2", "z2"}}
		b.Digest = digest(b.Hosts, b.Cores)
		n, ok := a.Apply(b.changeFrom(a))
		Expect(ok).To(BeTrue())
		Expect(n).To(Equal(b))
	})

	It("is refused by another list", func() {
		a, b := fleetOf(20), fleetOf(20, 1)
		_, ok := fleetOf(19).Apply(b.changeFrom(a))
		Expect(ok).To(BeFalse())
	})

	It("is sent only to receivers that accept it and whose list is known", func() {
		h := &fleetHistory{}
		a, b := fleetOf(20), fleetOf(20, 1)
		f, c := h.update(a, 0, true)
		Expect(f).To(Equal(a))
		Expect(c).To(BeNil())
		f, c = h.update(b, a.Digest, true)
		Expect(f).To(BeNil())
		Expect(c.Gone).To(HaveLen(1))
		f, c = h.update(b, a.Digest, false)
		Expect(f).To(Equal(b))
		Expect(c).To(BeNil())
		f, c = h.update(b, 12345, true)
		Expect(f).To(Equal(b))
		Expect(c).To(BeNil())
		f, c = h.update(b, b.Digest, true)
		Expect(f).To(BeNil())
		Expect(c).To(BeNil())
	})

	It("makes a process that cannot apply it ask for the whole list", func() {
		t := &fleetTable{}
		t.run()
		a, b, c := fleetOf(20), fleetOf(20, 1), fleetOf(20, 2)
		t.adopt(a, nil)
		t.adopt(nil, c.changeFrom(b))
		Expect(t.lastFleet.Digest).To(BeZero())
		Expect(t.lastFleet.Hosts).To(Equal(a.Hosts))
		t.adopt(c, nil)
		Expect(t.lastFleet).To(Equal(c))
	})

	It("tells that a link became narrow, and the zone of a control process", func() {
		a, b := fleetOf(2), fleetOf(2)
		b.Hosts[0].Narrow = false
		Expect(digest(b.Hosts, b.Cores)).NotTo(Equal(a.Digest))
		b = fleetOf(2)
		b.Cores[0].Zone = "z2"
		Expect(digest(b.Hosts, b.Cores)).NotTo(Equal(a.Digest))
	})

	// A fleet of hundreds of hosts on narrow links loses one host after the other:
	// ten changes a second, each of which all hosts must learn.
	It("takes a small part of a narrow link while hosts come and go", func() {
		const hosts, changes = 422, 10
		const linkBytes = 250_000
		h := &fleetHistory{}
		held := fleetOf(hosts)
		h.add(held)
		sent := 0
		for i := range changes {
			next := fleetOf(hosts, i, i+1)
			f, c := h.update(next, held.Digest, true)
			if f != nil {
				sent += sizeOf(f)
			}
			if c != nil {
				sent += sizeOf(c)
			}
			held = next
		}
		Expect(sent).To(BeNumerically("<", linkBytes/10))
	})
})
