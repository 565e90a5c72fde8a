package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { drills["download"] = playDownload }

const (
	// The time limit, and the size of the largest responses in bytes, of round-sheet in
	// the site file khuree-quiz-grown.
	sheetTimeout = 4000
	sheetSize    = 540_000
	// sheetTakes is the time in which a slow client reads a response.
	sheetTakes = 3300 * time.Millisecond
	// slowWindow is the receive buffer of a slow client, in bytes.
	slowWindow = 32 << 10
	// excusedFor is the time after the signal in which requests may be sent that are cut
	// while their instance works.
	excusedFor = 3 * time.Second
	// heldFor is how long a client keeps a response of the directory: three times ttlS.
	heldFor = 4500 * time.Millisecond
)

// reader is a client that reads its responses slowly, but within its time limit.
type reader struct {
	world *world

	mu               sync.Mutex
	sent, whole, cut int
}

// download requests a sheet at an entry host and reads it evenly over sheetTakes.
func (x *reader) download(m *machine) {
	c := &client{world: x.world}
	id := c.id()
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, r syscall.RawConn) error {
		return r.Control(func(fd uintptr) {
			// The kernel's default would take the whole response at once.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindow)
		})
	}}
	n, err := d.Dial("tcp", m.addr(x.world.ports.callers))
	if err != nil {
		return
	}
	defer n.Close()
	at := time.Now()
	_ = n.SetDeadline(at.Add(sheetTimeout * time.Millisecond))
	_, _ = fmt.Fprintf(n, "GET /sheet/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: %d\r\nX-Api-Key: %s\r\nConnection: close\r\n\r\n",
		hostName, id, sheetTimeout, key)
	var got bytes.Buffer
	b := make([]byte, 8<<10)
	for err == nil {
		var k int
		k, err = n.Read(b)
		got.Write(b[:k])
		// As late as a whole response may be read in sheetTakes.
		due := time.Duration(float64(sheetTakes) * min(1, float64(got.Len())/sheetSize))
		time.Sleep(time.Until(at.Add(due)))
	}
	status, whole := parse(got.Bytes(), id)
	since, stopped := m.sinceSignal(at)
	x.world.rec.line("client: %s to %s: status %d, whole %v, %d bytes in %v, %v after SIGTERM: %v", id, m.name, status, whole, got.Len(), time.Since(at), since, err)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent++
	switch {
	case whole || status != 0 && status != http.StatusOK:
		x.whole++
	case stopped && since > excusedFor && since+time.Since(at) <= gracePeriod+time.Second:
		x.cut++
		x.world.rec.note("LOST: the response to %s ended after %d bytes and %v of its %d ms; sent to %s %v after SIGTERM",
			id, got.Len(), time.Since(at), sheetTimeout, m.name, since)
	default:
		x.world.rec.note("%s was cut, but not around a stop", id)
	}
}

// parse returns the status of a response, and whether it is the whole one to a request.
func parse(b []byte, id string) (int, bool) {
	p, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, false
	}
	body, err := io.ReadAll(p.Body)
	return p.StatusCode, err == nil && p.StatusCode == http.StatusOK && bytes.Equal(body, responseBody(id, sheetSize))
}

// playDownload stops each of three entry hosts by plan, one after the other, while
// clients that keep an older response of the directory go on to use it.
func playDownload(w *world, trouble bool) int {
	prepare := func(i *instance) { i.size = sheetSize }
	_, instances, err := w.deployment(3, 3, 4, []route{{"/sheet/", "download", sheetTimeout}}, prepare)
	if err != nil {
		w.rec.note("cannot run: %v", err)
		return cannot
	}
	for _, i := range instances {
		defer i.end()
	}
	x := &reader{world: w}
	var group sync.WaitGroup
	send := func(m *machine) {
		group.Add(1)
		go func() {
			defer group.Done()
			x.download(m)
		}()
	}
	for range 25 {
		for _, m := range w.edges {
			send(m)
		}
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	for _, m := range w.edges {
		// The clients have looked up the addresses just before.
		lookedUp := time.Now()
		if trouble {
			go m.restart()
		}
		for time.Since(lookedUp) < heldFor-100*time.Millisecond {
			send(m)
			time.Sleep(200 * time.Millisecond)
		}
		group.Wait()
		time.Sleep(contact)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	w.rec.note("downloads: %d, whole or refused: %d, cut by a stop: %d", x.sent, x.whole, x.cut)
	if x.cut > 0 {
		w.rec.note("LOST is broken: %d", x.cut)
		return broken
	}
	return held
}
