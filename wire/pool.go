package wire

import "sync"

// Pool holds one client for each peer address.
type Pool struct {
	Secret string
	// Via maps peer addresses to the addresses to dial instead, for tests that
	// interrupt connections.
	Via map[string]string

	mu      sync.Mutex
	clients map[string]*Client
}

// Get returns the client for addr. It creates the client on first use.
func (p *Pool) Get(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = map[string]*Client{}
	}
	c := p.clients[addr]
	if c == nil {
		c = &Client{Addr: p.dialAddr(addr), Secret: p.Secret}
		p.clients[addr] = c
	}
	return c
}

func (p *Pool) dialAddr(addr string) string {
	if a, ok := p.Via[addr]; ok {
		return a
	}
	return addr
}
