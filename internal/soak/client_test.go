package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	callerDeadline = 3 * time.Second
	// answerSlack is added to the deadline for the transfer of a response.
	answerSlack = 500 * time.Millisecond
	// maxIdleTime is well below the time after which a host closes an idle connection.
	maxIdleTime = 8 * time.Second
)

// client is a caller that keeps one connection to each host until the connection ends.
type client struct {
	connections map[*process]*connection
}

type connection struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
	// ended is closed once the process at the other end has ended.
	ended <-chan struct{}
}

// isUsable reports whether a host may be expected to answer on the connection.
func (c *connection) isUsable() bool {
	select {
	case <-c.ended:
		return false
	default:
		return time.Since(c.lastUsed) <= maxIdleTime
	}
}

func newClient() *client { return &client{connections: map[*process]*connection{}} }

func (c *client) close() {
	for _, conn := range c.connections {
		_ = conn.Close()
	}
}

// answer is the result of a call.
type answer struct {
	status int // 0 if there was no response
	body   string
	// err is why there was no response; connected reports whether the request was sent.
	err        error
	connected  bool
	sent, done time.Time
}

// call sends a request to the host and waits for the response. It never repeats a request.
func (c *client) call(p *process, method, path, key string, body []byte) answer {
	a := answer{sent: time.Now()}
	conn := c.connections[p]
	if conn != nil && !conn.isUsable() {
		_ = conn.Close()
		conn = nil
	}
	if conn == nil {
		ended := p.ended() // of the process that the host has before the connection is made
		dialed, err := net.DialTimeout("tcp", p.frontAddress(), time.Second)
		if err != nil {
			a.err, a.done = err, time.Now()
			return a
		}
		conn = &connection{Conn: dialed, reader: bufio.NewReader(dialed), ended: ended}
	}
	delete(c.connections, p)
	var keep bool
	a.connected = true
	a.status, a.body, keep, a.err = conn.exchange(method, path, key, body)
	a.done = time.Now()
	if a.err != nil || !keep {
		_ = conn.Close()
		return a
	}
	conn.lastUsed = a.done
	c.connections[p] = conn
	return a
}

func (c *connection) exchange(method, path, key string, body []byte) (status int, text string, keep bool, err error) {
	_ = c.SetDeadline(time.Now().Add(callerDeadline + answerSlack)) // an error shows in the write
	var request bytes.Buffer
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: h\r\nApi-Key: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", method, path, key, callerDeadline.Milliseconds(), len(body))
	request.Write(body)
	if _, err := c.Write(request.Bytes()); err != nil {
		return 0, "", false, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, "", false, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", false, err
	}
	return response.StatusCode, string(data), !response.Close, nil
}
