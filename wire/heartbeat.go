package wire

import (
	"net/rpc"
	"time"
)

// heartbeat pings one connection until a ping fails, and then closes it.
type heartbeat struct {
	client *Client
	conn   *rpc.Client
}

func (h *heartbeat) run() {
	for {
		responsesBefore := h.client.responses.Load()
		time.Sleep(heartbeatInterval.Duration())
		// A response to another call proves as much as a ping.
		if h.client.responses.Load() == responsesBefore && !h.ping() {
			h.client.drop(h.conn)
			return
		}
	}
}

// ping reports whether the peer responded without error within heartbeatTimeout.
func (h *heartbeat) ping() bool {
	call := h.conn.Go(pingMethod, Nothing{}, &Nothing{}, make(chan *rpc.Call, 1))
	t := time.NewTimer(heartbeatTimeout.Duration())
	defer t.Stop()
	select {
	case <-call.Done:
		return call.Error == nil
	case <-t.C:
		return false
	}
}
