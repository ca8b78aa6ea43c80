package targetlink

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errSealed is returned by writes to a connection after its attempt was given up.
var errSealed = errors.New("the attempt was given up before anything was sent")

// trackedConn knows whether bytes of the current attempt may have left.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn. It marks the attempt as sent before the first byte.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin starts a new attempt on the connection.
func (c *trackedConn) begin() {
	c.mu.Lock()
	c.wrote = false
	c.mu.Unlock()
}

// seal forbids further writes and reports whether none was begun since begin.
// The connection cannot be used again and is closed.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	unsent := !c.wrote
	c.mu.Unlock()
	_ = c.Close()
	return unsent
}

// spare is a connection that is open before it is needed. A goroutine waits in a
// read so that a close by the target is noticed.
type spare struct {
	conn net.Conn
	read chan error
}

func newSpare(conn net.Conn) *spare {
	s := &spare{conn: conn, read: make(chan error, 1)}
	go func() {
		_, err := conn.Read(make([]byte, 1))
		s.read <- err
	}()
	return s
}

// take ends the waiting read and returns the connection, or nil if the target
// closed it or sent bytes that nobody asked for.
func (s *spare) take() net.Conn {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	err := <-s.read
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

// sparePool hands out the spare connection of one target and replaces it.
type sparePool struct {
	dial    dialFunc
	timeout time.Duration
	keep    bool

	mu      sync.Mutex
	ready   *spare
	filling bool
	closed  bool
}

// connect returns the spare connection if it is still open, otherwise a new one.
// It opens the next spare in the background.
func (p *sparePool) connect(ctx context.Context, network, address string) (net.Conn, error) {
	defer p.fill(network, address)
	if conn := p.takeReady(); conn != nil {
		return &trackedConn{Conn: conn}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

func (p *sparePool) takeReady() net.Conn {
	p.mu.Lock()
	s := p.ready
	p.ready = nil
	p.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.take()
}

// fill opens a spare connection unless there is one or one is being opened.
func (p *sparePool) fill(network, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keep || p.closed || p.filling || p.ready != nil {
		return
	}
	p.filling = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
		defer cancel()
		conn, err := p.dial(ctx, network, address)
		p.store(conn, err)
	}()
}

func (p *sparePool) store(conn net.Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.filling = false
	if err != nil {
		return
	}
	if p.closed {
		_ = conn.Close()
		return
	}
	p.ready = newSpare(conn)
}

// drop closes the spare connection. The next call opens another one.
func (p *sparePool) drop() {
	p.mu.Lock()
	s := p.ready
	p.ready = nil
	p.mu.Unlock()
	if s != nil {
		_ = s.conn.Close()
	}
}

// close drops the spare connection; later ones are closed when they open.
func (p *sparePool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.drop()
}
