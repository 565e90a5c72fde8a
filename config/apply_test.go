package config

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/refusal"
)

func change(id string, base uint64, e ...Edit) Change {
	return Change{ID: id, Base: base, Author: "test", Edits: e}
}

func apply(s *State, c Change) (*State, Outcome) {
	b, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	return s.Apply(c, b)
}

func account(n string) Edit { return Edit{PutAccount: &Account{Name: n, RatePerMinute: 60, Burst: 5}} }

var _ = Describe("Apply", func() {
	It("accepts the first of two changes with the same base and rejects the second with the ID of the first", func() {
		s, a := apply(New(), change("a", 0, account("x")))
		s, b := apply(s, change("b", 0, account("y")))
		Expect(a.Accepted).To(BeTrue())
		Expect(b.Accepted).To(BeFalse())
		Expect(b.Winner).To(Equal("a"))
		Expect(s.Accounts).To(HaveLen(1))
	})

	It("returns the first outcome for a repeated change ID, also after later changes", func() {
		c := change("a", 0, account("x"))
		s, first := apply(New(), c)
		s, _ = apply(s, change("b", 1, account("y")))
		n, again := apply(s, c)
		Expect(again).To(Equal(first))
		Expect(n).To(BeIdenticalTo(s))
	})

	It("applies none of the edits of a rejected change", func() {
		s, o := apply(New(), change("a", 0, account("x"), Edit{PutRoute: &Route{Prefix: "/r", Service: "none"}}))
		Expect(o.Accepted).To(BeFalse())
		Expect(o.Problem).NotTo(BeEmpty())
		Expect(s.Accounts).To(BeEmpty())
		Expect(s.Version).To(BeZero())
	})

	It("reaches the same digest from a decoded snapshot as from the changes", func() {
		s := New()
		for i := 0; i < 20; i++ {
			s, _ = apply(s, change(fmt.Sprint(i), s.Version, account(fmt.Sprint("n", i))))
		}
		b, err := s.Encode()
		Expect(err).NotTo(HaveOccurred())
		t, err := DecodeState(b)
		Expect(err).NotTo(HaveOccurred())
		s, _ = apply(s, change("last", s.Version, account("last")))
		t, _ = apply(t, change("last", t.Version, account("last")))
		Expect(t.Digest).To(Equal(s.Digest))
	})

	It("keeps the previous roster and rejects another change of it until the change is finished", func() {
		put := func(id string) Edit { return Edit{PutHost: &Host{ID: id, Zone: "z"}} }
		internal := func(id string, e ...Edit) Change { return Change{ID: id, Internal: true, Edits: e} }
		s, _ := apply(New(), internal("1", put("a"), put("b")))
		Expect(s.PreviousHosts).To(BeNil())
		Expect(s.InitialHosts).To(HaveLen(2))
		s, _ = apply(s, internal("2", put("c")))
		Expect(s.PreviousHosts).To(HaveLen(2))
		n, o := apply(s, internal("3", put("d")))
		Expect(o.Accepted).To(BeFalse())
		Expect(n.Hosts).To(HaveLen(3))
		s, _ = apply(n, internal("4", Edit{FinishRosterChange: true}))
		Expect(s.PreviousHosts).To(BeNil())
	})
})

var _ = Describe("Authenticate", func() {
	It("accepts only the exact key that was issued, and refuses it after it is withdrawn", func() {
		s, _ := apply(New(), change("a", 0, account("x")))
		secret, key := NewKey("x")
		s, _ = apply(s, change("b", 1, Edit{IssueKey: &key}))
		k, x := s.Authenticate(secret)
		Expect(x).To(BeNil())
		Expect(k.Account).To(Equal("x"))
		for _, wrong := range []string{secret + "0", secret[:len(secret)-1], "cwr__", key.ID} {
			_, x := s.Authenticate(wrong)
			Expect(x.Code).To(Equal(refusal.KeyUnknown))
		}
		_, x = s.Authenticate("")
		Expect(x.Code).To(Equal(refusal.KeyMissing))
		s, _ = apply(s, change("c", 2, Edit{WithdrawKey: key.ID}))
		_, x = s.Authenticate(secret)
		Expect(x.Code).To(Equal(refusal.KeyWithdrawn))
	})
})

var _ = DescribeTable("Match", func(path, prefix string) {
	s := New()
	for _, p := range []string{"/a", "/a/b", "/c"} {
		s.Routes[p] = Route{Prefix: p, Service: "s"}
	}
	r, ok := s.Match(path)
	Expect(ok).To(Equal(prefix != ""))
	Expect(r.Prefix).To(Equal(prefix))
},
	Entry("exact prefix", "/a", "/a"),
	Entry("longest of two prefixes", "/a/b/c", "/a/b"),
	Entry("prefix that ends within a segment", "/ab", ""),
	Entry("trailing slash", "/c/", "/c"),
	Entry("no route", "/", ""),
)

// FuzzDecodeChange checks that DecodeChange does not panic on any input, and that
// every change that it and Validate accept can be applied.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"id":"a","base":0,"author":"x","edits":[{"putAccount":{"name":"x","ratePerMinute":1,"burst":1}}]}`))
	f.Add([]byte(`{"id":"a","edits":[{"removeHost":"x"}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		c, err := DecodeChange(b)
		if err != nil || c.Validate() != nil {
			return
		}
		New().Apply(c, b)
	})
}

// BenchmarkApply measures one change to a configuration of the size that is
// expected in two years.
func BenchmarkApply(b *testing.B) {
	s := New()
	s.Services["s"] = Service{Name: "s"}
	for i := 0; i < 99_000; i++ {
		p := fmt.Sprintf("/r/%d", i)
		s.Routes[p] = Route{Prefix: p, Service: "s"}
	}
	for i := 0; i < 140_000; i++ {
		n := fmt.Sprint("account", i)
		s.Accounts[n] = Account{Name: n, RatePerMinute: 60, Burst: 5}
		k := fmt.Sprint("key", i)
		s.Keys[k] = Key{ID: k, Account: n}
	}
	for i := 0; b.Loop(); i++ {
		c := Change{ID: fmt.Sprint(i), Internal: true, Edits: []Edit{{PutAccount: &Account{Name: "account1", RatePerMinute: 60, Burst: i}}}}
		d, _ := c.Encode()
		s, _ = s.Apply(c, d)
	}
}
