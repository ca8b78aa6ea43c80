package targetlink

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errAborted is returned by writes to a connection after abort.
var errAborted = errors.New("the attempt was aborted before anything was sent")

// trackedConn is a connection that records whether bytes of the current attempt may have
// been sent.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written bool
	aborted bool
}

// Write implements net.Conn. It marks the attempt as written before it sends the bytes.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errAborted
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// startAttempt starts a new attempt on the connection.
func (c *trackedConn) startAttempt() {
	c.mu.Lock()
	c.written = false
	c.mu.Unlock()
}

// abort prevents further writes, closes the connection and reports whether no write began
// since startAttempt.
func (c *trackedConn) abort() bool {
	c.mu.Lock()
	c.aborted = true
	unsent := !c.written
	c.mu.Unlock()
	_ = c.Close()
	return unsent
}

// spareConn is a connection that is opened before it is needed. A goroutine blocks in a
// read to detect that the target closes it.
type spareConn struct {
	conn    net.Conn
	readErr chan error
}

func newSpareConn(conn net.Conn) *spareConn {
	s := &spareConn{conn: conn, readErr: make(chan error, 1)}
	go func() {
		_, err := conn.Read(make([]byte, 1))
		s.readErr <- err
	}()
	return s
}

// take ends the pending read and returns the connection, or nil if the target closed it
// or sent unexpected bytes.
func (s *spareConn) take() net.Conn {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	err := <-s.readErr
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		_ = s.conn.Close()
		return nil
	}
	if s.conn.SetReadDeadline(time.Time{}) != nil {
		_ = s.conn.Close()
		return nil
	}
	return s.conn
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// spareDialer opens the connections to one target. If enabled, it keeps one spare
// connection open, so that a call need not wait for the handshake.
type spareDialer struct {
	dial        dialFunc
	dialTimeout time.Duration
	enabled     bool

	mu      sync.Mutex
	spare   *spareConn
	dialing bool
	closed  bool
}

// dialContext returns the spare connection if it is still open, otherwise a new one. It
// opens the next spare connection in the background.
func (d *spareDialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	defer d.dialSpare(network, address)
	if conn := d.takeSpare(); conn != nil {
		return &trackedConn{Conn: conn}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// takeSpare removes the spare connection and returns it, or nil if there is none that is
// still open.
func (d *spareDialer) takeSpare() net.Conn {
	d.mu.Lock()
	s := d.spare
	d.spare = nil
	d.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.take()
}

// dialSpare opens a spare connection in the background, unless there is one, one is being
// opened, or the dialer is closed or keeps no spare.
func (d *spareDialer) dialSpare(network, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.enabled || d.closed || d.dialing || d.spare != nil {
		return
	}
	d.dialing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.dialTimeout)
		defer cancel()
		conn, err := d.dial(ctx, network, address)
		d.setSpare(conn, err)
	}()
}

// setSpare stores a new spare connection. err is the error of opening it.
func (d *spareDialer) setSpare(conn net.Conn, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialing = false
	if err != nil {
		return
	}
	if d.closed {
		_ = conn.Close()
		return
	}
	d.spare = newSpareConn(conn)
}

// closeSpare closes the spare connection. The next dialContext opens another one.
func (d *spareDialer) closeSpare() {
	d.mu.Lock()
	s := d.spare
	d.spare = nil
	d.mu.Unlock()
	if s != nil {
		_ = s.conn.Close()
	}
}

// close closes the spare connection. A spare connection that is still being opened is
// closed when it is open.
func (d *spareDialer) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.closeSpare()
}
