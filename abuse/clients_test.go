package abuse_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

const (
	// dialWithin bounds the opening of a connection, writeWithin each write, and
	// floodWithin all that the clients of one case send before the checks.
	dialWithin  = 3 * time.Second
	writeWithin = 2 * time.Second
	floodWithin = 15 * time.Second
)

// script is what one client does with its connection, which stays open
// afterwards. Errors end the script: the process may have closed the connection.
type script func(c net.Conn, i int)

// client is one misbehaving client.
type client struct {
	addr string
	i    int
	do   script
	done *sync.WaitGroup

	mu   sync.Mutex
	conn net.Conn
	over bool
}

func (c *client) run() {
	defer c.done.Done()
	n, err := net.DialTimeout("tcp", c.addr, dialWithin)
	if err != nil {
		return
	}
	c.mu.Lock()
	over := c.over
	c.conn = n
	c.mu.Unlock()
	if over {
		_ = n.Close()
		return
	}
	// Small buffers let few bytes fill a connection.
	_ = n.(*net.TCPConn).SetReadBuffer(4 << 10)
	c.do(n, c.i)
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// flood is a set of clients.
type flood struct {
	clients []*client
	done    sync.WaitGroup
}

// start starts n clients of addr. They stay connected until the end of the spec.
func start(n int, addr string, do script) *flood {
	f := &flood{}
	for i := range n {
		c := &client{addr: addr, i: i, do: do, done: &f.done}
		f.clients = append(f.clients, c)
		f.done.Add(1)
		go c.run()
	}
	DeferCleanup(f.stop)
	return f
}

func (f *flood) stop() {
	for _, c := range f.clients {
		c.close()
	}
	f.done.Wait()
}

// await waits until all clients have sent what they send, or for floodWithin.
func (f *flood) await() {
	w := &waiter{f, make(chan struct{})}
	go w.run()
	select {
	case <-w.over:
	case <-time.After(floodWithin):
	}
}

type waiter struct {
	flood *flood
	over  chan struct{}
}

func (w *waiter) run() {
	w.flood.done.Wait()
	close(w.over)
}

// send writes s to a connection. It returns false if that fails.
func send(c net.Conn, s string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := io.WriteString(c, s)
	return err == nil
}

// head returns the head of a request without its last line.
func head(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: s.example\r\nAttempt-Id: abuse\r\n" + strings.Join(fields, "")
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// unfinishedBody returns a script that sends a body of size bytes but for its last
// byte, in one piece, in small pieces, or in chunks, by the number of the client.
func unfinishedBody(method, path string, size int) script {
	return func(c net.Conn, i int) {
		switch i % 3 {
		case 0:
			send(c, head(method, path, length(size))+"\r\n"+strings.Repeat("b", size-1))
		case 1:
			if !send(c, head(method, path, length(size))+"\r\n") {
				return
			}
			for k := 0; k < size-1; k += smallPiece {
				if !send(c, strings.Repeat("b", min(smallPiece, size-1-k))) {
					return
				}
			}
		case 2:
			if !send(c, head(method, path, chunked)+"\r\n") {
				return
			}
			x := fmt.Sprintf("%x\r\n%s\r\n", smallPiece, strings.Repeat("b", smallPiece))
			for k := 0; k < size; k += smallPiece {
				if !send(c, x) {
					return
				}
			}
		}
	}
}

const smallPiece = 1_000

// oversizedBody returns a script that sends a body of size bytes, with a length or
// in chunks by the number of the client.
func oversizedBody(method, path string, size int) script {
	return func(c net.Conn, i int) {
		piece := strings.Repeat("b", 64<<10)
		if i%2 == 0 {
			if !send(c, head(method, path, length(size))+"\r\n") {
				return
			}
		} else {
			if !send(c, head(method, path, chunked)+"\r\n") {
				return
			}
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		for k := 0; k < size; k += 64 << 10 {
			if !send(c, piece) {
				return
			}
		}
	}
}

// shortFields returns as many different short header fields as fit into size
// bytes.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() < size-8; i++ {
		b.WriteByte(letters[i%26])
		b.WriteByte(letters[i/26%26])
		b.WriteByte(letters[i/676%26])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// manyFields returns a script that sends a head of many short fields. Half of the
// clients leave out the last byte of it.
func manyFields(method, path string) script {
	h := head(method, path)
	h += shortFields(headBytes-len(h)-2) + "\r\n"
	return func(c net.Conn, i int) {
		send(c, h[:len(h)-i%2])
	}
}

// pipelined returns a script that sends many requests and reads nothing.
func pipelined(path string, requests int) script {
	return func(c net.Conn, _ int) {
		send(c, strings.Repeat(head("GET", path)+"\r\n", requests))
	}
}

// slow returns a script whose clients send a head or a body byte by byte, stop in
// the middle of one, read a response byte by byte, or send nothing.
func slow(path string) script {
	return func(c net.Conn, i int) {
		h := head("POST", path, length(100_000)) + "\r\n"
		switch i % 6 {
		case 0:
			trickle(c, h)
		case 1:
			if send(c, h) {
				trickle(c, strings.Repeat("b", 1_000))
			}
		case 2:
			send(c, h[:len(h)/2])
		case 3:
			send(c, h+strings.Repeat("b", 50_000))
		case 4:
			send(c, strings.Repeat(head("GET", path)+"\r\n", 20))
			b := make([]byte, 1)
			for range slowBytes {
				time.Sleep(slowPause)
				if _, err := c.Read(b); err != nil {
					return
				}
			}
		}
	}
}

const (
	slowBytes = 50
	slowPause = 200 * time.Millisecond
)

// trickle sends the first slowBytes bytes of s one by one.
func trickle(c net.Conn, s string) {
	for _, x := range s[:slowBytes] {
		time.Sleep(slowPause)
		if !send(c, string(x)) {
			return
		}
	}
}
