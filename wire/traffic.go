package wire

import (
	"expvar"
	"net"
)

// traffic counts the bytes of control traffic in both directions.
var traffic = expvar.NewInt("controlBytes")

// countedConn is a connection whose bytes are counted.
type countedConn struct{ net.Conn }

// Read reads and counts.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	traffic.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	traffic.Add(int64(n))
	return n, err
}
