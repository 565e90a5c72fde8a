package faultproxy

import "sync"

// Mesh holds a proxy for each pair of processes, so that each link can be cut
// by itself.
type Mesh struct {
	mu sync.Mutex
	m  map[pair]*Proxy
}

type pair struct{ from, to string }

// ProxyAddr returns the address at which from reaches to, whose own address is
// addr. It is addr itself if no proxy can be started.
func (m *Mesh) ProxyAddr(from, to, addr string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.m == nil {
		m.m = map[pair]*Proxy{}
	}
	k := pair{from, to}
	if m.m[k] == nil {
		p := &Proxy{Target: addr}
		if p.Run() != nil {
			return addr
		}
		m.m[k] = p
	}
	return m.m[k].Addr()
}

// CutOneWay drops everything that from sends to to, on connections that
// either of them opened.
func (m *Mesh) CutOneWay(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.m[pair{from, to}]; p != nil {
		p.mu.Lock()
		p.cutTo = cut
		p.mu.Unlock()
	}
	if p := m.m[pair{to, from}]; p != nil {
		p.mu.Lock()
		p.cutFrom = cut
		p.mu.Unlock()
	}
}

// Isolate cuts a process off from all others, in both directions, or ends
// that.
func (m *Mesh) Isolate(name string, cut bool) {
	for _, k := range m.pairs() {
		if k.from == name || k.to == name {
			m.CutOneWay(k.from, k.to, cut)
		}
	}
}

// SilenceOpen makes the connections that are open now silent for good.
func (m *Mesh) SilenceOpen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.m {
		p.SilenceOpen()
	}
}

// Heal ends every cut.
func (m *Mesh) Heal() {
	for _, k := range m.pairs() {
		m.CutOneWay(k.from, k.to, false)
	}
}

func (m *Mesh) pairs() []pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]pair, 0, len(m.m))
	for k := range m.m {
		l = append(l, k)
	}
	return l
}

// Close ends every proxy.
func (m *Mesh) Close() {
	for _, k := range m.pairs() {
		m.m[k].Close()
	}
}
