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
		responsesBefore := h.client.responses.Load()
		time.Sleep(heartbeatInterval.Duration())
		// An answer in the meantime tells as much as a ping.
		if h.client.responses.Load() == responsesBefore && !h.ping() {
			h.client.drop(h.conn)
			return
		}
	}
}

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
