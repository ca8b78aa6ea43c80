//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// bodyBytes is the largest body that the platform's pages allow.
const bodyBytes = 256 << 10

// writeTimeout ends the attempt to send to a daemon that does not read.
const writeTimeout = 30 * time.Second

// crowd is a set of connections that stay open until the end of the test.
type crowd struct {
	conns []net.Conn // nil where no connection could be opened
}

// gather opens n connections to the daemon at once.
func gather(d *daemon, n int) *crowd {
	c := &crowd{conns: make([]net.Conn, n)}
	c.each(func(i int, _ net.Conn) {
		conn, err := net.DialTimeout("tcp", d.frontAddress, writeTimeout)
		if err == nil {
			c.conns[i] = conn
		}
	})
	d.t.Cleanup(func() {
		for _, conn := range c.conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
		d.expectAnswer() // also after the crowd
	})
	return c
}

// each calls f for all connections at once and waits.
func (c *crowd) each(f func(int, net.Conn)) {
	var wg sync.WaitGroup
	for i, conn := range c.conns {
		wg.Go(func() { f(i, conn) })
	}
	wg.Wait()
}

// send writes data on all connections. Errors mean that the daemon has closed a connection or
// does not read it, which it may.
func (c *crowd) send(data func(i int) []byte) {
	c.each(func(i int, conn net.Conn) {
		if conn != nil {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = conn.Write(data(i))
		}
	})
}

// header returns the header of a submission without its empty line.
func header(i int, fields string) []byte {
	return fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n%s", queuePath, 0xabc000+i, hostName, fields)
}

const keyField = "Api-Key: " + apiKey + "\r\n"

// submission returns a body of the largest size.
func submission() []byte {
	const begin, end = `{"spec":"`, `","steps":[{"count":1,"cpu":100,"estMs":100}]}`
	return []byte(begin + strings.Repeat("a", bodyBytes-len(begin)-len(end)) + end)
}

// chunked returns the body in chunks of size bytes, without the chunk that ends it.
func chunked(body []byte, size int) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.Bytes()
}

// sendBodies sends a header on each connection and then the body, in the given pieces.
func sendBodies(t *testing.T, fields string, pieces ...[]byte) {
	d := startDaemon(t, *bodyMaxFDs)
	c := gather(d, *bodyCrowd)
	c.send(func(i int) []byte { return header(i, fields+"\r\n") })
	for _, piece := range pieces {
		c.send(func(int) []byte { return piece })
	}
	d.check()
}

func lengthField(body []byte) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// TestWholeBodiesWithoutEnd guards against memory that grows with the bodies in flight.
func TestWholeBodiesWithoutEnd(t *testing.T) {
	body := submission()
	sendBodies(t, keyField+lengthField(body), body[:len(body)-1])
}

// TestBodiesInPieces guards against the same for bodies that all grow slowly together.
func TestBodiesInPieces(t *testing.T) {
	body := submission()
	var pieces [][]byte
	const size = bodyBytes / 16
	for rest := body[:len(body)-1]; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		pieces = append(pieces, rest[:min(size, len(rest))])
	}
	sendBodies(t, keyField+lengthField(body), pieces...)
}

// TestBodiesWithoutKey guards against memory that is spent on callers without a key.
func TestBodiesWithoutKey(t *testing.T) {
	body := submission()
	sendBodies(t, lengthField(body), body[:len(body)-1])
}

// TestLargeChunks guards against memory that grows with bodies of unknown length.
func TestLargeChunks(t *testing.T) {
	sendBodies(t, keyField+"Transfer-Encoding: chunked\r\n", chunked(submission(), 64<<10))
}

// TestTinyChunks guards against bodies that cost much more to receive than their length.
func TestTinyChunks(t *testing.T) {
	sendBodies(t, keyField+"Transfer-Encoding: chunked\r\n", chunked(submission(), 1))
}

// TestUnreadResponses guards against connections that are held because nobody reads the
// responses to pipelined requests.
func TestUnreadResponses(t *testing.T) {
	d := startDaemon(t, *maxFDs)
	c := gather(d, *connectionCrowd)
	requests := bytes.Repeat(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", queuePath, hostName, keyField), 1000)
	c.send(func(int) []byte { return requests })
	d.check()
}

// TestIdleConnections guards against unused connections that take all descriptors.
func TestIdleConnections(t *testing.T) {
	d := startDaemon(t, *maxFDs)
	gather(d, *connectionCrowd)
	d.check()
}

// TestHalfHeaders guards against unfinished headers that take all descriptors.
func TestHalfHeaders(t *testing.T) {
	d := startDaemon(t, *maxFDs)
	c := gather(d, *connectionCrowd)
	c.send(func(i int) []byte { return header(i, keyField) })
	d.check()
}

// TestHeadersByteByByte guards against headers that make just enough progress to be held.
func TestHeadersByteByByte(t *testing.T) {
	d := startDaemon(t, *maxFDs)
	c := gather(d, *connectionCrowd)
	text := header(0, keyField)
	for i := range text {
		c.send(func(int) []byte { return text[i : i+1] })
	}
	d.check()
}

// TestManyHeaderFields guards against unfinished headers of very short fields, which take a
// multiple of their bytes once they are parsed.
func TestManyHeaderFields(t *testing.T) {
	var fields strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&fields, "%03x:\n", i)
	}
	d := startDaemon(t, *bodyMaxFDs)
	c := gather(d, *bodyCrowd)
	c.send(func(i int) []byte { return header(i, fields.String()) })
	d.check()
}
