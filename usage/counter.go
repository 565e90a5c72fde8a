// Package usage counts the requests and bytes of client accounts, for the monthly
// settlement.
package usage

import (
	"sync"

	"github.com/carawayrack/carawayrack/refusal"
)

// Row holds the counts of one account on one route.
type Row struct {
	Account string `json:"account"`
	Route   string `json:"route"`
	// Served is the number of requests that got a response from a target, new or
	// stored. Bytes is the number of bytes of the response bodies that were sent.
	Served uint64 `json:"served"`
	Bytes  uint64 `json:"bytes"`
	// Refused is the number of refused requests by refusal code.
	Refused map[refusal.Code]uint64 `json:"refused,omitempty"`
}

type rowKey struct{ account, route string }

// Counter holds the counts of one host. It is safe for concurrent use.
type Counter struct {
	mu   sync.Mutex
	rows map[rowKey]*Row
}

// row returns the row of an account and route, and adds it if there is none. The
// caller holds mu.
func (c *Counter) row(account, route string) *Row {
	if c.rows == nil {
		c.rows = map[rowKey]*Row{}
	}
	k := rowKey{account, route}
	r := c.rows[k]
	if r == nil {
		r = &Row{Account: account, Route: route, Refused: map[refusal.Code]uint64{}}
		c.rows[k] = r
	}
	return r
}

// Served counts a request that got a response, and the bytes of the response
// body that were sent.
func (c *Counter) Served(account, route string, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(account, route)
	r.Served++
	r.Bytes += uint64(bytes)
}

// Refused counts a refused request.
func (c *Counter) Refused(account, route string, code refusal.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.row(account, route).Refused[code]++
}

// Rows returns a copy of the counts, in no defined order.
func (c *Counter) Rows() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := make([]Row, 0, len(c.rows))
	for _, r := range c.rows {
		n := *r
		n.Refused = map[refusal.Code]uint64{}
		for k, v := range r.Refused {
			n.Refused[k] = v
		}
		l = append(l, n)
	}
	return l
}

// Sum adds up the rows of several hosts by account and route. The order of the
// rows returned is not defined.
func Sum(rows []Row) []Row {
	c := &Counter{}
	for _, r := range rows {
		x := c.row(r.Account, r.Route)
		x.Served += r.Served
		x.Bytes += r.Bytes
		for k, v := range r.Refused {
			x.Refused[k] += v
		}
	}
	return c.Rows()
}
