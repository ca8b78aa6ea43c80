package drain

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerTimeout bounds how long a connection that the server has closed waits for the
	// client to close it too. Until then, received data is discarded: closing a connection
	// with unread data would reset it, which can destroy a response on its way.
	lingerTimeout = 500 * time.Millisecond
	// closeDelay is how long the server waits after the last response for the client to close
	// the connection. Requests that arrive until then are served: the client may have sent
	// them before it read that response.
	closeDelay = 500 * time.Millisecond
	// responseTimeout bounds how long a response waits for a client that does not read: more
	// than callers wait for a response.
	responseTimeout = 5 * time.Second
	// readAheadBytes is the size of the buffer for the check for further requests.
	readAheadBytes = 512
	// watchBytes is the size of the reads by which http.Server notices, while a complete
	// request is executed, that the client has left. It reads more at once otherwise.
	watchBytes = 1
)

// past is a deadline that makes a blocked read return.
var past = time.Unix(1, 0)

// connKey is the context key of a request's connection.
type connKey struct{}

// conn is a server's connection. It implements net.Conn for http.Server, which reads from
// one goroutine at a time.
type conn struct {
	*net.TCPConn
	server *Server

	mu           sync.Mutex
	pending      []byte    // received data that Read returns first
	busy         bool      // a request is being received or executed
	noWait       bool      // reads do not wait for data
	readDeadline time.Time // set by http.Server
	closeBy      time.Time // an earlier deadline until data arrives; zero if there is none
	peerClosed   bool      // the client has closed its side
	closed       bool
	stage        stage
	since        time.Time // of the stage
	evicted      bool      // its place is needed
	header       headerLines
}

// Read implements net.Conn. A read whose deadline has passed returns data that has arrived
// nevertheless.
func (c *conn) Read(p []byte) (int, error) {
	if n := c.takePending(p); n > 0 {
		return n, nil
	}
	n, err := c.TCPConn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readAvailable(p, err, !c.isBusy())
		if !errors.Is(err, os.ErrDeadlineExceeded) || len(p) != watchBytes || !c.keep() {
			break
		}
		n, err = c.TCPConn.Read(p)
	}
	if !c.recordRead(p[:n], err) {
		return 0, errTooManyLines
	}
	return n, err
}

// keep ends an eviction, because the request turned out to be complete, and reports whether
// there was one. A failed watch would cancel the request.
func (c *conn) keep() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		return false
	}
	c.evicted = false
	c.noWait = c.server.phase.Load() >= phaseClosing
	c.applyReadDeadlineLocked()
	return !c.noWait
}

func (c *conn) takePending(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	return n
}

// readAvailable reads received data without waiting. If there is none, it returns errEmpty,
// and if closeEmpty is true, it closes the sending side at once: a request that arrives
// between the check and the close is lost.
func (c *conn) readAvailable(p []byte, errEmpty error, closeEmpty bool) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil || len(p) == 0 {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		for {
			if n, readErr = syscall.Read(int(fd), p); readErr != syscall.EINTR {
				break
			}
		}
		if closeEmpty && readErr == syscall.EAGAIN {
			_ = syscall.Shutdown(int(fd), syscall.SHUT_WR) // Close shuts it down in any case
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, errEmpty
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// recordRead updates the state after a read. Data that arrives on a connection that is to
// be closed as idle begins a request, whose rest is waited for. It reports whether the header
// of the request keeps to its bound.
func (c *conn) recordRead(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) > 0 {
		c.setBusyLocked()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed = true
	}
	return c.stage != receiving || c.header.add(data)
}

func (c *conn) setBusyLocked() {
	if !c.busy {
		c.enterLocked(receiving)
		c.evicted = false // the request may have been on its way
	}
	c.busy = true
	if !c.noWait && c.closeBy.IsZero() {
		return
	}
	c.closeBy = time.Time{}
	c.noWait = c.noWait && (c.evicted || c.server.phase.Load() >= phaseClosing)
	c.applyReadDeadlineLocked()
}

func (c *conn) applyReadDeadlineLocked() {
	deadline := c.readDeadline
	switch {
	case c.noWait:
		deadline = past
	case !c.closeBy.IsZero() && (deadline.IsZero() || c.closeBy.Before(deadline)):
		deadline = c.closeBy
	}
	_ = c.TCPConn.SetReadDeadline(deadline) // an error means that the connection is closed
}

// awaitClose makes the connection idle and limits the wait for further data.
func (c *conn) awaitClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.enterLocked(idle)
	c.closeBy = time.Now().Add(closeDelay)
	c.applyReadDeadlineLocked()
}

func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.enterLocked(idle)
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// interrupt makes reads return without waiting for data, which makes http.Server close an
// idle connection. It does nothing for a busy connection unless all is true.
func (c *conn) interrupt(all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.noWait || c.busy && !all {
		return
	}
	c.noWait = true
	c.applyReadDeadlineLocked()
}

// Write implements net.Conn. A client that does not read ends the connection.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(responseTimeout)) // an error means that the connection is closed
	return c.TCPConn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.applyReadDeadlineLocked()
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// readAhead adds the given and the received data to the data that the next reads return,
// and reports whether there is any.
func (c *conn) readAhead(buffered []byte) bool {
	data := make([]byte, readAheadBytes)
	n, err := c.readAvailable(data, os.ErrDeadlineExceeded, false)
	_ = c.recordRead(data[:n], err) // the buffer is small
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = slices.Concat(buffered, c.pending, data[:n])
	return len(c.pending) > 0
}

// Close implements net.Conn. It closes the sending side, and the connection once the client
// has closed its side or lingerTimeout has passed.
func (c *conn) Close() error {
	c.mu.Lock()
	alreadyClosed, peerClosed := c.closed, c.peerClosed || c.evicted && c.stage < receivingBody
	c.closed, c.busy = true, false
	c.enterLocked(lingering)
	c.mu.Unlock()
	if alreadyClosed {
		return net.ErrClosed
	}
	if peerClosed || c.CloseWrite() != nil { // or nothing was answered that could be lost
		return c.finish()
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	go func() {
		_, _ = io.Copy(io.Discard, onlyReader{c.TCPConn}) // an error or EOF ends the wait
		_ = c.finish()
	}()
	return nil
}

func (c *conn) finish() error {
	c.server.remove(c)
	return c.TCPConn.Close()
}

// onlyReader hides all other methods of a reader.
type onlyReader struct{ io.Reader }
