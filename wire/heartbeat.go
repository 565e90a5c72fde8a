package wire

import (
	"net/rpc"
	"time"
)

// heartbeat pings one connection until an answer stays away.
type heartbeat struct {
	client *Client
	conn   *rpc.Client
}

func (h *heartbeat) run() {
	for {
		before := h.client.answered.Load()
		time.Sleep(heartbeatInterval.Duration())
		// An answer in the meantime tells as much as a ping.
		if h.client.answered.Load() == before && !h.ping() {
			h.client.drop(h.conn)
			return
		}
	}
}

func (h *heartbeat) ping() bool {
	k := h.conn.Go(pingMethod, Nothing{}, &Nothing{}, make(chan *rpc.Call, 1))
	t := time.NewTimer(heartbeatTimeout.Duration())
	defer t.Stop()
	select {
	case <-k.Done:
		return k.Error == nil
	case <-t.C:
		return false
	}
}
