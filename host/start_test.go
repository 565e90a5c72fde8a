package host

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/usage"
)

var _ = Describe("a host that listens for peers and does not follow the configuration yet", func() {
	It("answers gossip with an empty configuration", func() {
		h := &Host{Settings: Settings{ID: "h1"}, Log: zap.NewNop(), usage: &usage.Counter{}, journal: &journal.Journal{Size: 1, Log: zap.NewNop()}}
		h.createOutboxes()
		h.createShardClient()
		h.createFrontend()
		h.createConfigSync()
		r := h.configSync.Gossip(api.GossipArgs{Host: "h2"})
		Expect(r.Update.Sequence).To(BeZero())
		Expect(h.config().Sequence).To(BeZero())
		Expect(h.current()).To(BeFalse())
	})
})
