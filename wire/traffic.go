package wire

import (
	"expvar"
	"net"
)

// traffic counts the bytes sent and received between the fleet's processes.
var traffic = expvar.NewInt("controlBytes")

// countedConn is a connection whose bytes are counted.
type countedConn struct{ net.Conn }

// Read reads into b and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	traffic.Add(int64(n))
	return n, err
}

// Write writes b and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	traffic.Add(int64(n))
	return n, err
}
