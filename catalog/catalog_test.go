package catalog

import (
	"math"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// translate parses a test document, which is its version number, into a
// configuration with two routes.
func translate(b []byte) (*Config, error) {
	v, err := strconv.ParseUint(string(b), 10, 64)
	return &Config{
		Version:  v,
		Services: []Service{{Name: "s"}},
		Accounts: []Account{{Name: "x", Keys: []string{"k"}}},
		Routes: []Route{
			{Name: "r", Host: "h", Prefix: "/a/", Kind: Idempotent, Timeout: 1, Parts: []Part{{"s", 1}}},
			{Name: "q", Host: "h", Prefix: "/a/b/", Kind: Unsafe, Timeout: 1, Parts: []Part{{"s", 1}}},
		},
	}, err
}

func document(version uint64) Change {
	b, err := Compress([]byte(strconv.FormatUint(version, 10)))
	Expect(err).NotTo(HaveOccurred())
	return Change{Document: b, Version: version}
}

func target(id string, born int64, number uint64) Target {
	return Target{ID: id, Addr: id + ":1", Service: "s", Zone: "z", Born: born, Number: number, Phase: Serving, Slots: 1}
}

var _ = Describe("State", func() {
	It("keeps the highest version when older ones are applied later", func() {
		s := New(translate)
		for _, v := range []uint64{3, 7, 5, 7} {
			Expect(s.Apply(document(v))).To(Succeed())
		}
		Expect(s.Version).To(Equal(uint64(7)))
		Expect(s.UpdateConfig()).To(BeTrue())
		Expect(s.Config.Version).To(Equal(uint64(7)))
		Expect(s.Sequence).To(Equal(uint64(4)))
	})

	// After a restart all changes since the snapshot are applied at once, and only
	// the last document comes into force.
	It("parses only the last of many documents applied in a row", func() {
		parses := 0
		s := New(func(b []byte) (*Config, error) { parses++; return translate(b) })
		for v := uint64(1); v <= 200; v++ {
			Expect(s.Apply(document(v))).To(Succeed())
		}
		Expect(s.UpdateConfig()).To(BeTrue())
		Expect(parses).To(Equal(1))
		Expect(s.Config.Version).To(Equal(uint64(200)))
		Expect(s.UpdateConfig()).To(BeFalse())
		Expect(parses).To(Equal(1))
	})

	// Guards against a first configuration that is acknowledged and never in force.
	It("takes a first document with version 0", func() {
		s := New(translate)
		Expect(s.Apply(document(0))).To(Succeed())
		changed, err := s.UpdateConfig()
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(Decompress(s.Document)).To(Equal([]byte("0")))
		other := document(9)
		other.Version = 0
		Expect(s.Apply(other)).To(Succeed())
		Expect(Decompress(s.Document)).To(Equal([]byte("0")))
		Expect(s.Apply(document(1))).To(Succeed())
		Expect(s.Version).To(Equal(uint64(1)))
	})

	It("keeps the first document of a version when another has the same version", func() {
		s := New(translate)
		Expect(s.Apply(document(7))).To(Succeed())
		other := document(9)
		other.Version = 7
		Expect(s.Apply(other)).To(Succeed())
		Expect(Decompress(s.Document)).To(Equal([]byte("7")))
	})

	It("orders announcements by the start of the target and then by their number", func() {
		s := New(translate)
		put := func(t Target) { Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed()) }
		put(target("t", 10, 5))
		old := target("t", 10, 4)
		old.Phase = Leaving
		put(old)
		Expect(s.Targets["t"].Phase).To(Equal(Serving))
		leaving := target("t", 10, 6)
		leaving.Phase = Leaving
		put(leaving)
		put(target("t", 10, 5))
		Expect(s.Targets["t"].Phase).To(Equal(Leaving))
		put(target("t", 11, 1))
		Expect(s.Targets["t"].Phase).To(Equal(Serving))
		put(leaving)
		Expect(s.Targets["t"].Phase).To(Equal(Serving))
	})

	It("keeps only the target that started last at an address", func() {
		s := New(translate)
		a, b := target("a", 10, 9), target("b", 20, 1)
		b.Addr = a.Addr
		Expect(s.Apply(Change{Targets: []Target{a, b}})).To(Succeed())
		Expect(s.Targets["a"].Phase).To(Equal(Gone))
		// A late announcement of the first target does not undo this.
		a.Number = 10
		Expect(s.Apply(Change{Targets: []Target{a}})).To(Succeed())
		Expect(s.Targets["b"].Phase).To(Equal(Serving))
		Expect(s.Targets["a"].Phase).To(Equal(Gone))
	})

	// Guards against announcements of another writer that displace sound targets.
	It("keeps a target if one of an unlisted service is announced at its address or under its ID", func() {
		s := New(translate)
		put := func(t Target) { Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed()) }
		a := target("a", 10, 9)
		put(a)
		b := target("b", 20, 1)
		b.Addr, b.Service, b.Unlisted = a.Addr, "unlisted", true
		put(b)
		Expect(s.Targets["a"].Phase).To(Equal(Serving))
		b.ID = "a"
		Expect(s.NeedsChange(b)).To(BeFalse())
		put(b)
		Expect(s.Targets["a"]).To(Equal(a))
		// Nor does it keep out a target that is announced later and started earlier.
		c := target("c", 15, 1)
		c.Addr = a.Addr
		put(c)
		Expect(s.Targets["c"].Phase).To(Equal(Serving))
		Expect(s.Targets["a"].Phase).To(Equal(Gone))
		// Once its service is listed, a new announcement counts.
		b.ID, b.Number, b.Unlisted = "b", 2, false
		Expect(s.NeedsChange(b)).To(BeTrue())
		put(b)
		Expect(s.Targets["c"].Phase).To(Equal(Gone))
	})

	// Guards against announcements of another writer that displace sound targets for good,
	// since they came before the configuration.
	It("lets a target come back that was displaced by one of a service that proves to be unlisted", func() {
		s := New(translate)
		put := func(t Target) { Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed()) }
		a, x, y := target("a", 10, 9), target("x", 20, 1), target("b", 20, 1)
		x.Addr, x.Service, y.Service = a.Addr, "unlisted", "unlisted"
		put(x)
		put(y)
		put(a)
		Expect(s.Targets["a"].Phase).To(Equal(Gone))
		a.Number++
		Expect(s.NeedsChange(a)).To(BeFalse())
		Expect(s.ToUnlist()).To(BeEmpty(), "there is no configuration yet")
		s.Config = &Config{Services: []Service{{Name: a.Service}}}
		s.Config.Index()
		Expect(s.ToUnlist()).To(Equal(map[string]int64{"x": 20, "b": 20}))
		Expect(s.Apply(Change{Unlist: s.ToUnlist()})).To(Succeed())
		Expect(s.ToUnlist()).To(BeEmpty())
		Expect(s.NeedsChange(a)).To(BeTrue())
		put(a)
		Expect(s.Targets["a"].Phase).To(Equal(Serving))
		// The other writer used the ID of a target that started earlier.
		b := target("b", 10, 5)
		Expect(s.NeedsChange(b)).To(BeTrue())
		put(b)
		Expect(s.Targets["b"]).To(Equal(b))
	})

	It("does not let a target come back that a listed one has displaced, also once that has left", func() {
		s := New(translate)
		a, b := target("a", 10, 9), target("b", 20, 1)
		b.Addr = a.Addr
		Expect(s.Apply(Change{Targets: []Target{a, b}})).To(Succeed())
		b.Number, b.Phase = 2, Gone
		Expect(s.Apply(Change{Targets: []Target{b}})).To(Succeed())
		a.Number++
		Expect(s.NeedsChange(a)).To(BeFalse())
	})

	It("takes the departure of a target whose service is no longer listed", func() {
		s := New(translate)
		t := target("a", 10, 9)
		Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed())
		t.Number, t.Phase, t.Unlisted = 10, Leaving, true
		Expect(s.NeedsChange(t)).To(BeTrue())
		Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed())
		Expect(s.Targets["a"].Phase).To(Equal(Leaving))
	})

	It("lists the services of the configuration, and without one those that contradict no other target", func() {
		s := New(translate)
		Expect(s.Apply(Change{Targets: []Target{target("a", 10, 1)}})).To(Succeed())
		u := target("u", 20, 1)
		u.Service = "other"
		Expect(s.Lists(u)).To(BeTrue())
		u.Addr = "a:1"
		Expect(s.Lists(u)).To(BeFalse())
		s.Config = &Config{Services: []Service{{Name: "other"}}}
		s.Config.Index()
		Expect(s.Lists(u)).To(BeTrue())
		Expect(s.Lists(target("a", 10, 1))).To(BeFalse())
	})

	It("needs a change for a start, a new phase and the beginning of a warm-up, but not for its progress or an old announcement", func() {
		s := New(translate)
		t := target("t", 10, 1)
		Expect(s.NeedsChange(t)).To(BeTrue())
		Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed())
		t.Number = 2
		Expect(s.NeedsChange(t)).To(BeFalse())
		t.Cold = 500
		Expect(s.NeedsChange(t)).To(BeTrue())
		Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed())
		t.Number, t.Cold = 3, 400
		Expect(s.NeedsChange(t)).To(BeFalse())
		t.Number, t.Phase = 4, Leaving
		Expect(s.NeedsChange(t)).To(BeTrue())
		t.Number = 0
		Expect(s.NeedsChange(t)).To(BeFalse())
	})

	It("evacuates and restores zones", func() {
		s := New(translate)
		Expect(s.Apply(Change{Evacuate: "z"})).To(Succeed())
		Expect(s.EvacuatedZones).To(HaveKey("z"))
		Expect(s.Apply(Change{Restore: "z"})).To(Succeed())
		Expect(s.EvacuatedZones).To(BeEmpty())
	})

	// Guards against an order that is carried out after a later one for the zone.
	It("skips an order for a zone that was made before another one took effect", func() {
		s := New(translate)
		zero := uint64(0)
		Expect(s.Apply(Change{Evacuate: "z", Revision: &zero})).To(Succeed())
		first := s.ZoneRevisions["z"]
		restore := Change{Restore: "z", Revision: &first}
		Expect(s.Apply(restore)).To(Succeed())
		Expect(s.Superseded(restore)).To(BeFalse())
		Expect(s.Apply(Change{Evacuate: "z"})).To(Succeed())
		Expect(s.Apply(restore)).To(Succeed())
		Expect(s.Superseded(restore)).To(BeTrue())
		Expect(s.EvacuatedZones).To(HaveKey("z"))
		// An order that changes nothing counts as one too.
		second := s.ZoneRevisions["z"]
		Expect(s.Apply(Change{Evacuate: "z"})).To(Succeed())
		Expect(s.Apply(Change{Restore: "z", Revision: &second})).To(Succeed())
		Expect(s.EvacuatedZones).To(HaveKey("z"))
	})

	It("decodes what it encoded", func() {
		s := New(translate)
		Expect(s.Apply(document(7))).To(Succeed())
		Expect(s.Apply(Change{Targets: []Target{target("t", 1, 1)}, Evacuate: "z"})).To(Succeed())
		b, err := s.Encode()
		Expect(err).NotTo(HaveOccurred())
		r, err := Decode(b, translate)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Targets).To(Equal(s.Targets))
		Expect(r.Config.Version).To(Equal(uint64(7)))
		Expect(r.Sequence).To(Equal(s.Sequence))
		_, err = Decode(b[:len(b)/2], translate)
		Expect(err).To(HaveOccurred())
	})

	It("drops the gone targets that started first once there are too many targets", func() {
		s := New(translate)
		for i := 0; i < pruneAbove+10; i++ {
			t := target("t"+strconv.Itoa(i), int64(i+1), 1)
			t.Phase = Gone
			Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed())
		}
		Expect(len(s.Targets)).To(BeNumerically("<=", pruneAbove))
		Expect(s.Targets).To(HaveKey("t" + strconv.Itoa(pruneAbove+9)))
	})
})

var _ = Describe("Config", func() {
	It("matches the route of the host with the longest prefix of the path", func() {
		c, _ := translate([]byte("1"))
		c.Index()
		Expect(c.Match("h", "/a/b/c").Name).To(Equal("q"))
		Expect(c.Match("h", "/a/c").Name).To(Equal("r"))
		Expect(c.Match("h", "/a")).To(BeNil())
		Expect(c.Match("h", "/b/")).To(BeNil())
		Expect(c.Match("g", "/a/b/c")).To(BeNil())
		Expect(c.AccountByKey("k").Name).To(Equal("x"))
		Expect(c.AccountByKey("")).To(BeNil())
	})

	DescribeTable("is invalid as a whole for one wrong item",
		func(change func(*Config)) {
			c, _ := translate([]byte("1"))
			Expect(c.Validate()).To(Succeed())
			change(c)
			var invalid Invalid
			Expect(c.Validate()).To(BeAssignableToTypeOf(invalid))
		},
		Entry("unknown service", func(c *Config) { c.Routes[0].Parts[0].Service = "u" }),
		Entry("no weight", func(c *Config) { c.Routes[0].Parts[0].Weight = 0 }),
		Entry("negative weight", func(c *Config) { c.Routes[0].Parts[0].Weight = -1 }),
		Entry("a weight whose sum with others overflows", func(c *Config) {
			c.Routes[0].Parts = []Part{{c.Services[0].Name, math.MaxInt}, {c.Services[0].Name, 1}}
		}),
		Entry("a timeout of centuries", func(c *Config) { c.Routes[0].Timeout = math.MaxInt64 }),
		Entry("a negative objective", func(c *Config) { c.Routes[0].Objective = -1 }),
		Entry("a negative rate", func(c *Config) { c.Accounts[0].Rate = -1 }),
		Entry("a rate without end", func(c *Config) { c.Accounts[0].Rate = math.Inf(1) }),
		Entry("a rate that is not a number", func(c *Config) { c.Accounts[0].Rate = math.NaN() }),
		Entry("a negative burst", func(c *Config) { c.Accounts[0].Burst = -1 }),
		Entry("a warm-up rate that is too large", func(c *Config) { c.Services[0].WarmUpRate = 1e300 }),
		Entry("a negative warm-up", func(c *Config) { c.Services[0].WarmUp = -1 }),
		Entry("a share of hedges above 1", func(c *Config) { x := 1.01; c.Services[0].Hedge = &x }),
		Entry("a share of hedges that is not a number", func(c *Config) { x := math.NaN(); c.Services[0].Hedge = &x }),
		Entry("no parts", func(c *Config) { c.Routes[0].Parts = nil }),
		Entry("prefix without a leading slash", func(c *Config) { c.Routes[0].Prefix = "a/" }),
		Entry("no prefix", func(c *Config) { c.Routes[0].Prefix = "" }),
		Entry("no host", func(c *Config) { c.Routes[0].Host = "" }),
		Entry("unknown kind", func(c *Config) { c.Routes[0].Kind = "odd" }),
		Entry("key of two accounts", func(c *Config) { c.Accounts = append(c.Accounts, Account{Name: "y", Keys: []string{"k"}}) }),
		// Guards against an account whose second block replaces its limits.
		Entry("two accounts of one name with the same key", func(c *Config) {
			c.Accounts = append(c.Accounts, Account{Name: c.Accounts[0].Name, Keys: c.Accounts[0].Keys, Rate: 1000, Burst: 1000})
		}),
		Entry("two accounts of one name with different keys", func(c *Config) {
			c.Accounts = append(c.Accounts, Account{Name: c.Accounts[0].Name, Keys: []string{"other"}})
		}),
		Entry("no timeout", func(c *Config) { c.Routes[0].Timeout = 0 }),
		Entry("two routes with the same host and prefix", func(c *Config) { c.Routes[0].Prefix = c.Routes[1].Prefix }),
		Entry("service without a name", func(c *Config) { c.Services[0].Name = "" }),
		Entry("account without a name", func(c *Config) { c.Accounts[0].Name = "" }),
	)
})

var _ = Describe("Change", func() {
	It("decodes what it encoded", func() {
		c := document(4)
		b, err := c.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeChange(b)).To(Equal(c))
		_, err = DecodeChange(b[:5])
		Expect(err).To(HaveOccurred())
	})

	It("fails to decompress a truncated document", func() {
		c := document(4)
		_, err := Decompress(c.Document[:2])
		Expect(err).To(HaveOccurred())
	})
})
