package faultproxy

import "sync"

// Mesh holds a proxy for each ordered pair of processes, so that each link can
// be cut separately.
type Mesh struct {
	mu      sync.Mutex
	proxies map[pair]*Proxy
}

type pair struct{ from, to string }

// ProxyAddr returns the address of the proxy for connections of process from to
// process to, whose own address is addr. It starts the proxy if the pair has
// none yet, and returns addr if that fails. Once the pair has a proxy, addr is
// ignored.
func (m *Mesh) ProxyAddr(from, to, addr string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proxies == nil {
		m.proxies = map[pair]*Proxy{}
	}
	k := pair{from, to}
	if m.proxies[k] == nil {
		p := &Proxy{Target: addr}
		if p.Run() != nil {
			return addr
		}
		m.proxies[k] = p
	}
	return m.proxies[k].Addr()
}

// CutOneWay drops everything that process from sends to process to, on
// connections that either of them opened, or ends that cut.
func (m *Mesh) CutOneWay(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.proxies[pair{from, to}]; p != nil {
		p.mu.Lock()
		p.cutTo = cut
		p.mu.Unlock()
	}
	if p := m.proxies[pair{to, from}]; p != nil {
		p.mu.Lock()
		p.cutFrom = cut
		p.mu.Unlock()
	}
}

// Isolate cuts all links of the mesh from and to a process in both directions,
// or ends these cuts.
func (m *Mesh) Isolate(name string, cut bool) {
	for _, k := range m.pairs() {
		if k.from == name || k.to == name {
			m.CutOneWay(k.from, k.to, cut)
		}
	}
}

// SilenceOpen permanently drops all data on the connections that are open now.
func (m *Mesh) SilenceOpen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.proxies {
		p.SilenceOpen()
	}
}

// Heal ends every cut. Connections that SilenceOpen silenced stay silent.
func (m *Mesh) Heal() {
	for _, k := range m.pairs() {
		m.CutOneWay(k.from, k.to, false)
	}
}

func (m *Mesh) pairs() []pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]pair, 0, len(m.proxies))
	for k := range m.proxies {
		l = append(l, k)
	}
	return l
}

// Close closes every proxy.
func (m *Mesh) Close() {
	for _, k := range m.pairs() {
		m.proxies[k].Close()
	}
}
