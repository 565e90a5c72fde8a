package host

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/slots"
)

func TestHost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "host")
}

func announcement() slots.Announcement {
	return slots.Announcement{Service: "s", Target: "t", Addr: "127.0.0.1:80", Zone: "z1", Incarnation: "1", Slots: 3, ColdSlots: 1, State: slots.Ready}
}

var _ = DescribeTable("checkAnnouncement", func(problem string, change func(*slots.Announcement)) {
	a := announcement()
	change(&a)
	Expect(checkAnnouncement(a)).To(HavePrefix(problem))
	if problem == "" {
		Expect(checkAnnouncement(a)).To(BeEmpty())
	}
},
	Entry("valid announcement", "", func(*slots.Announcement) {}),
	Entry("no target", "target", func(a *slots.Announcement) { a.Target = "" }),
	Entry("a host name instead of an IP address", "addr", func(a *slots.Announcement) { a.Addr = "target:80" }),
	Entry("no incarnation", "incarnation", func(a *slots.Announcement) { a.Incarnation = "" }),
	Entry("no slots", "slots", func(a *slots.Announcement) { a.Slots = 0 }),
	Entry("more cold slots than slots", "coldSlots", func(a *slots.Announcement) { a.ColdSlots = 4 }),
	Entry("unknown state", "state", func(a *slots.Announcement) { a.State = "fine" }),
)

// FuzzAnnouncement checks that checkAnnouncement does not panic and that every
// accepted announcement has valid numbers of slots, as a pool expects.
func FuzzAnnouncement(f *testing.F) {
	b, err := json.Marshal(announcement())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"slots":-1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var a slots.Announcement
		if json.Unmarshal(b, &a) != nil || checkAnnouncement(a) != "" {
			return
		}
		if a.Slots < 1 || a.ColdSlots > a.Slots {
			t.Fatalf("accepted %+v", a)
		}
	})
}
