package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// answerTimeout bounds the wait for a response. It exceeds the grace period, within which even
// callers with a longer timeout must get an answer of a stopping host.
const answerTimeout = 9 * time.Second

// lostRequest is a request that was written whole and got no complete response.
type lostRequest struct {
	class, host, method, kind string
	ignoredClose              bool          // the caller uses connections that the host has asked to close
	sinceSignal               time.Duration // from the last SIGTERM of the host to the end of the connection
	waited                    time.Duration // from the request's last byte to the end of the connection
}

func (l lostRequest) String() string {
	return fmt.Sprintf("%s %s %s: %s %v after SIGTERM, %v after the last byte", l.class, l.host, l.method, l.kind,
		l.sinceSignal.Round(time.Millisecond), l.waited.Round(time.Millisecond))
}

// callerLog collects what the callers saw.
type callerLog struct {
	mu       sync.Mutex
	sent     map[string]int // requests that were written whole, by class
	statuses map[int]int
	lost     []lostRequest
	accepted map[string]bool // paths of accepted jobs
}

func newCallerLog() *callerLog {
	return &callerLog{sent: map[string]int{}, statuses: map[int]int{}, accepted: map[string]bool{}}
}

func (l *callerLog) countSent(class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[class]++
}

func (l *callerLog) countAnswer(status int, q *rawRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
	if q.method == http.MethodPost && status == http.StatusOK {
		l.accepted[q.path] = true
	}
}

func (l *callerLog) addLost(r lostRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = append(l.lost, r)
}

// target is a host as its callers see it.
type target struct {
	name, address string
	signalledAt   atomic.Int64 // Unix nanoseconds of the last first SIGTERM
}

// rawRequest is an HTTP request as bytes.
type rawRequest struct {
	method, path string
	body         []byte
	headers      string
	writtenAt    time.Time
}

func (q *rawRequest) head() []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\nContent-Length: %d\r\n%s\r\n", q.method, q.path, len(q.body), q.headers)
}

func (q *rawRequest) bytes() []byte { return append(q.head(), q.body...) }

// rawConn is a caller's connection.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

// idle waits for d and reports whether the host kept the connection open.
func (c *rawConn) idle(d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.reader.Peek(1)
	var netErr net.Error
	return err == nil || errors.As(err, &netErr) && netErr.Timeout()
}

// caller sends requests to one host over raw TCP connections.
type caller struct {
	id     int
	class  string
	target *target
	log    *callerLog
	stop   <-chan struct{}
	rng    *rand.Rand
	body   []byte // of submissions
	jobs   int    // number of submitted jobs
	// ignoresClose is set for a caller that uses a connection until the host closes it.
	ignoresClose bool
}

func (c *caller) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

func (c *caller) between(low, high int) time.Duration {
	return time.Duration(low+c.rng.IntN(high-low)) * time.Millisecond
}

// connect opens a connection, or returns nil if the host does not listen.
func (c *caller) connect() *rawConn {
	conn, err := net.DialTimeout("tcp", c.target.address, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	return &rawConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// request returns a random request: mostly status queries, but also submissions and
// cancellations.
func (c *caller) request() *rawRequest {
	q := &rawRequest{method: http.MethodGet, headers: fmt.Sprintf("Deadline-Ms: %d\r\n", []int{1500, 3000, 20000}[c.rng.IntN(3)])}
	switch c.rng.IntN(10) {
	case 0, 1:
		c.jobs++
		q.method, q.body = http.MethodPost, c.body
	case 2:
		q.method = http.MethodDelete
	}
	q.path = fmt.Sprintf("/batch/%08x%08x", c.id, c.jobs)
	return q
}

func (c *caller) submission() *rawRequest {
	c.jobs++
	return &rawRequest{method: http.MethodPost, body: c.body, path: fmt.Sprintf("/batch/%08x%08x", c.id, c.jobs), headers: "Deadline-Ms: 3000\r\n"}
}

// write writes the last bytes of the requests and reports whether the whole data was
// written.
func (c *caller) write(conn *rawConn, data []byte, requests ...*rawRequest) bool {
	if _, err := conn.Write(data); err != nil {
		return false
	}
	for _, q := range requests {
		q.writtenAt = time.Now()
		c.log.countSent(c.class)
	}
	return true
}

// readAnswer reads the final response to the request and reports whether the connection
// can be used further.
func (c *caller) readAnswer(conn *rawConn, q *rawRequest) bool {
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: q.method})
		if err == nil && response.StatusCode == http.StatusContinue {
			continue
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err != nil {
			c.lose(q, err)
			return false
		}
		c.log.countAnswer(response.StatusCode, q)
		return c.ignoresClose || !response.Close
	}
}

// errNotReached is the error of a pipelined request after the connection's last response.
var errNotReached = errors.New("closed before the response")

// readAnswers reads the responses to pipelined requests. Requests after the last response
// of the connection are lost.
func (c *caller) readAnswers(conn *rawConn, requests []*rawRequest) bool {
	for i, q := range requests {
		if c.readAnswer(conn, q) {
			continue
		}
		for _, unanswered := range requests[i+1:] {
			c.lose(unanswered, errNotReached)
		}
		return false
	}
	return true
}

func (c *caller) lose(q *rawRequest, err error) {
	kind := "unfinished response"
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		kind = "reset"
	case errors.Is(err, errNotReached):
		kind = "closed before"
	case errors.As(err, &netErr) && netErr.Timeout():
		kind = "no response"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		kind = "EOF"
	}
	now := time.Now()
	c.log.addLost(lostRequest{
		class: c.class, host: c.target.name, method: q.method, kind: kind, ignoredClose: c.ignoresClose,
		sinceSignal: now.Sub(time.Unix(0, c.target.signalledAt.Load())), waited: now.Sub(q.writtenAt),
	})
}

// callerClasses are the kinds of callers. Each function uses one connection until it ends.
var callerClasses = []struct {
	name string
	use  func(*caller, *rawConn)
}{
	{"keep-alive", func(c *caller, conn *rawConn) { c.repeat(conn, 0, 12) }},
	{"idle", func(c *caller, conn *rawConn) { c.repeat(conn, 300, 6000) }},
	{"ignores-close", func(c *caller, conn *rawConn) { c.ignoresClose = true; c.repeat(conn, 0, 12) }},
	{"several-connections", (*caller).useSeveral},
	{"pipelined", (*caller).usePipeline},
	{"expect-continue", (*caller).useExpectContinue},
	{"half-body", (*caller).useHalfBody},
	{"slow-reader", (*caller).useSlowReader},
	{"new-connection", (*caller).useOnce},
}

// run uses one connection after the other until the caller is stopped.
func (c *caller) run(use func(*caller, *rawConn)) {
	for !c.stopped() {
		if conn := c.connect(); conn != nil {
			use(c, conn)
			_ = conn.Close()
		}
	}
}

// repeat sends a request after each pause of low to high milliseconds.
func (c *caller) repeat(conn *rawConn, low, high int) {
	for !c.stopped() && conn.idle(c.between(low, high)) {
		q := c.request()
		if !c.write(conn, q.bytes(), q) || !c.readAnswer(conn, q) {
			return
		}
	}
}

// useSeveral sends a request on each of several connections before it reads the responses.
func (c *caller) useSeveral(first *rawConn) {
	conns := []*rawConn{first}
	for range 3 {
		if conn := c.connect(); conn != nil {
			defer func() { _ = conn.Close() }()
			conns = append(conns, conn)
		}
	}
	for len(conns) > 0 && !c.stopped() {
		requests := map[*rawConn]*rawRequest{}
		for _, conn := range conns {
			if conn.idle(c.between(0, 10)) {
				if q := c.request(); c.write(conn, q.bytes(), q) {
					requests[conn] = q
				}
			}
		}
		open := conns[:0]
		for _, conn := range conns {
			if q := requests[conn]; q != nil && c.readAnswer(conn, q) {
				open = append(open, conn)
			}
		}
		conns = open
	}
}

// usePipeline writes several requests at once before it reads the responses.
func (c *caller) usePipeline(conn *rawConn) {
	for !c.stopped() && conn.idle(c.between(0, 30)) {
		var requests []*rawRequest
		var data []byte
		for range 2 + c.rng.IntN(4) {
			q := c.request()
			requests = append(requests, q)
			data = append(data, q.bytes()...)
		}
		if !c.write(conn, data, requests...) {
			return
		}
		if !c.readAnswers(conn, requests) {
			return
		}
	}
}

// useExpectContinue sends the body of a submission when the host asks for it.
func (c *caller) useExpectContinue(conn *rawConn) {
	for !c.stopped() && conn.idle(c.between(0, 30)) {
		q := c.submission()
		q.headers += "Expect: 100-continue\r\n"
		if !c.write(conn, q.head()) {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
		line, err := conn.reader.Peek(len("HTTP/1.1 100"))
		if err != nil {
			return // the body has not been sent
		}
		if string(line) == "HTTP/1.1 100" && !c.write(conn, q.body, q) || !c.readAnswer(conn, q) {
			return
		}
	}
}

// useHalfBody pauses in the middle of a submission.
func (c *caller) useHalfBody(conn *rawConn) {
	for !c.stopped() && conn.idle(c.between(0, 30)) {
		q := c.submission()
		data := q.bytes()
		half := len(data) - len(q.body)/2
		if !c.write(conn, data[:half]) {
			return
		}
		if !conn.idle(c.between(0, 2000)) {
			return // the host has closed the connection before the request was whole
		}
		if !c.write(conn, data[half:], q) || !c.readAnswer(conn, q) {
			return
		}
	}
}

// useSlowReader writes many requests and reads the responses a few bytes at a time.
func (c *caller) useSlowReader(conn *rawConn) {
	const batch = 20
	_ = conn.Conn.(*net.TCPConn).SetReadBuffer(2048)
	slow := &rawConn{Conn: conn.Conn, reader: bufio.NewReaderSize(slowReader{conn.Conn}, 16)}
	for !c.stopped() && slow.idle(c.between(0, 300)) {
		var requests []*rawRequest
		var data []byte
		for range batch {
			q := c.request()
			requests = append(requests, q)
			data = append(data, q.bytes()...)
		}
		if !c.write(slow, data, requests...) {
			return
		}
		if !c.readAnswers(slow, requests) {
			return
		}
	}
}

// slowReader reads at most a few bytes at a time, with pauses.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Conn.Read(p[:min(len(p), 64)])
}

// useOnce sends a single request.
func (c *caller) useOnce(conn *rawConn) {
	q := c.request()
	if c.write(conn, q.bytes(), q) {
		c.readAnswer(conn, q)
	}
	time.Sleep(c.between(0, 20))
}
