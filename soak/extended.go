package soak

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// extendedSeed is the first seed whose runs also have large bodies, targets that
	// respond early, misbehaving callers and, every rolloutEvery seeds, a roll-out.
	// Lower seeds are those in which former faults were found.
	extendedSeed    = 1000
	extendedCallers = 6
	rolloutEvery    = 3
	rolloutTime     = 10 * time.Second
	rolloutVersion  = "v2"
	// rolloutTargets is enough for the new version to get all requests: half the others.
	rolloutTargets = targets/2 + 1
	downloadPath   = "/sheet/"
	uploadPath     = "/upload/"
	// largeTimeout bounds requests with large bodies. Callers wait for maxStall more, to
	// see how the host ends them.
	largeTimeout = 4 * time.Second
	// Hosts read the first 256 KiB of a response and 2 MiB of a request before they pass
	// any of it on. Bodies have minLarge bytes and up to maxLarge more.
	minLarge, maxLarge = 300 << 10, 2 << 20
	// A slow caller reads slowPart bytes every slowPause, a response in up to 1 s.
	slowPart  = 256 << 10
	slowPause = 100 * time.Millisecond
	// maxStall bounds how long a caller that does not read keeps its connection open.
	maxStall = 2 * time.Second
	// pipelined is the number of requests that a caller sends without reading.
	pipelined = 12
	// sizeHeader holds the number of bytes of the body of a request.
	sizeHeader = "Soak-Size"
)

func extendedRoutes(p []catalog.Part) []catalog.Route {
	return []catalog.Route{
		{Name: "sheet", Host: host, Prefix: downloadPath, Kind: catalog.Download, Timeout: clock.FromDuration(largeTimeout), Objective: clock.Second, Attempts: 2, Parts: p},
		{Name: "upload", Host: host, Prefix: uploadPath, Kind: catalog.Upload, Timeout: clock.FromDuration(largeTimeout), Objective: clock.Second, Attempts: 1, Parts: p},
	}
}

// hash returns a number that follows from the ID of a request.
func hash(id string) int { return int(crc32.ChecksumIEEE([]byte(id))) }

// largeBody returns the body of an upload or of the response to a download.
func largeBody(id string) []byte {
	return bytes.Repeat([]byte(bodyOf(id)), (minLarge+hash(id)%maxLarge)/len(bodyOf(id)))
}

// callExtended makes one of the requests of extended seeds. A misbehaving caller stops an
// upload before its last byte, or sends requests without reading.
func (c *caller) callExtended(r *rand.Rand, id, key string) {
	addr := c.addresses[r.Intn(len(c.addresses))]
	var b bytes.Buffer
	switch r.Intn(6) {
	case 0, 1:
		c.callLarge(r, c.request(addr, downloadPath, id, key, nil, largeTimeout), id, largeBody(id))
	case 2, 3:
		c.callLarge(r, c.request(addr, uploadPath, id, key, largeBody(id), largeTimeout), id, []byte(bodyOf(id)))
	case 4:
		_ = c.request(addr, uploadPath, id, key, largeBody(id), largeTimeout).Write(&b)
		misbehave(r, addr, b.Bytes()[:b.Len()-1])
	case 5:
		for i := range pipelined {
			_ = c.request(addr, []string{safePath, downloadPath}[i%2], fmt.Sprintf("%s.%d", id, i), key, nil, largeTimeout).Write(&b)
		}
		misbehave(r, addr, b.Bytes())
	}
}

// callLarge sends a request. Some callers read slowly, and some stop after a part.
func (c *caller) callLarge(r *rand.Rand, q *http.Request, id string, want []byte) {
	x, stop := context.WithTimeout(context.Background(), largeTimeout+maxStall)
	defer stop()
	c.sent.Add(1)
	k := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := k.Do(q.WithContext(x))
	if err != nil {
		return
	}
	defer a.Body.Close()
	if a.StatusCode < 200 || a.StatusCode > 599 {
		c.ledger.violate("status", "request %s got the status %d", id, a.StatusCode)
	}
	how, b := r.Intn(4), bytes.Buffer{}
	for err == nil {
		_, err = io.CopyN(&b, a.Body, slowPart)
		switch how {
		case 0:
			time.Sleep(slowPause)
		case 1:
			time.Sleep(time.Duration(r.Int63n(int64(maxStall))))
			return
		}
	}
	if err != io.EOF {
		return
	}
	c.ledger.setStatus(id, a.StatusCode)
	if a.StatusCode != http.StatusOK {
		return
	}
	c.served.Add(1)
	if !bytes.Equal(b.Bytes(), want) {
		c.ledger.violate("truncated", "request %s got %d of %d bytes, or others, as a complete response", id, b.Len(), len(want))
	}
}

// misbehave sends bytes, reads nothing and closes the connection after a while.
func misbehave(r *rand.Rand, addr string, b []byte) {
	n, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(maxStall))
	_, _ = n.Write(b)
	time.Sleep(time.Duration(r.Int63n(int64(maxStall))))
}

// serveLarge responds to a download or an upload, and reports whether the request is one.
// Responses have a length: the fault proxy may drop a part of a stream.
func (t *target) serveLarge(w http.ResponseWriter, r *http.Request, id string, cut bool) bool {
	if strings.HasPrefix(r.URL.Path, downloadPath) {
		b := largeBody(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		if cut {
			_, _ = w.Write(b[:len(b)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(b)
		return true
	}
	if !strings.HasPrefix(r.URL.Path, uploadPath) {
		return false
	}
	if k := hash(id) % 10; k < len(earlyResponses) {
		var h bytes.Buffer
		_ = w.Header().Write(&h)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 "+earlyResponses[k], bodyOf(id), len(bodyOf(id)), h.String())
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return true
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil || cut {
		panic(http.ErrAbortHandler)
	}
	if size := r.Header.Get(sizeHeader); size != strconv.FormatInt(n, 10) {
		t.ledger.violate("truncated", "%d of %s bytes of upload %s came as a complete body", n, size, id)
	}
	_, _ = io.WriteString(w, bodyOf(id))
	return true
}

// earlyResponses are responses to uploads before their bodies have been read, after which
// the connection is closed. The first one is complete.
var earlyResponses = []string{
	"200 OK\r\nContent-Length: %[2]d\r\n%[3]s\r\n%[1]s",
	"200 OK\r\nContent-Length: 99999\r\n%[3]s\r\n%[1]s",
	"200 OK\r\nTransfer-Encoding: chunked\r\n%[3]s\r\n%[2]x\r\n%[1]s\r\n",
	"000 None\r\nContent-Length: %[2]d\r\n%[3]s\r\n%[1]s",
}

// rolloutOrder is a roll-out during a run.
type rolloutOrder struct {
	soak  *Soak
	state catalog.RolloutState
}

// run starts targets of a new version, orders its roll-out and waits for the end.
func (o *rolloutOrder) run() {
	s := o.soak
	defer s.activeFaults.Done()
	for range rolloutTargets {
		if err := s.addTarget(rolloutVersion); err != nil {
			s.ledger.violate("soak", "%v", err)
		}
	}
	ordered := false
	for end := time.Now().Add(2*rolloutTime + recoverWithin); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, a := range s.controls() {
			if !ordered {
				ordered = s.client.StartRollout(a, service, rolloutVersion, rolloutTime.Seconds()) == nil
			} else if x, _, err := s.client.Rollout(a, service); err == nil && x != catalog.RolloutRunning {
				o.state = x
				return
			}
		}
	}
	s.ledger.violate("roll-out", "ordered: %v; it has not ended", ordered)
}
