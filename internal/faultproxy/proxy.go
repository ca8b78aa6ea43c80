// Package faultproxy is a TCP proxy that injects faults into one link: cuts in one
// or both directions, delay, silence and resets. Tests and scenarios put one
// between two parties. It is no part of the product.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Direction is the direction of bytes through the proxy.
type Direction int

// Directions.
const (
	ToServer Direction = iota
	ToClient
	directions
)

const (
	dialTimeout = 2 * time.Second
	bufferBytes = 16 << 10
)

// Proxy is one link.
type Proxy struct {
	listener net.Listener
	server   string
	wait     sync.WaitGroup
	bytes    atomic.Int64

	mu      sync.Mutex
	changed chan struct{} // closed by every change of the faults
	closed  bool
	cut     bool
	drop    [directions]bool
	delay   time.Duration
	links   map[*link]struct{}
}

// link is one connection from a client and its counterpart to the server.
type link struct {
	client, server net.Conn
	// frozen and damaged are guarded by the proxy's lock. Bytes of a damaged link
	// were dropped, so it can never carry a valid stream again.
	frozen, damaged bool
}

// Listen starts a proxy in front of the server's address on a free port.
func Listen(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p := &Proxy{
		listener: listener,
		server:   server,
		changed:  make(chan struct{}),
		links:    map[*link]struct{}{},
	}
	p.wait.Go(p.accept)
	return p, nil
}

// Address returns the address that clients use.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Bytes returns the bytes that arrived at the proxy in both directions.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// change applies a change of the faults and wakes the pumps.
func (p *Proxy) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut resets all connections and every new one.
func (p *Proxy) Cut() {
	p.change(func() {
		p.cut = true
		p.resetAll()
	})
}

// Drop discards the bytes of one direction. Connections stay open and new ones
// are accepted.
func (p *Proxy) Drop(d Direction) {
	p.change(func() { p.drop[d] = true })
}

// Delay holds each piece of data back for d in each direction.
func (p *Proxy) Delay(d time.Duration) {
	p.change(func() { p.delay = d })
}

// Freeze makes the present connections silent. New ones work.
func (p *Proxy) Freeze() {
	p.change(func() {
		for l := range p.links {
			l.frozen = true
		}
	})
}

// Reset resets the present connections. New ones work.
func (p *Proxy) Reset() {
	p.change(p.resetAll)
}

// Restore ends all faults. Frozen connections deliver what they held back;
// connections that lost bytes are reset.
func (p *Proxy) Restore() {
	p.change(func() {
		p.cut, p.delay, p.drop = false, 0, [directions]bool{}
		for l := range p.links {
			l.frozen = false
			if l.damaged {
				l.reset()
			}
		}
	})
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.change(func() {
		p.closed = true
		p.resetAll()
	})
	_ = p.listener.Close()
	p.wait.Wait()
}

// resetAll resets all connections. The lock is held.
func (p *Proxy) resetAll() {
	for l := range p.links {
		l.reset()
	}
}

// reset closes both sides with a TCP reset.
func (l *link) reset() {
	for _, conn := range []net.Conn{l.client, l.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wait.Go(func() { p.connect(client) })
	}
}

// connect opens the counterpart of a client's connection and copies both ways.
func (p *Proxy) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	if !p.add(l) {
		l.reset()
		return
	}
	defer p.remove(l)
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(l, ToServer) })
	pumps.Go(func() { p.pump(l, ToClient) })
	pumps.Wait()
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut || p.closed {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
	_ = l.client.Close()
	_ = l.server.Close()
}

// pump copies one direction until either side ends.
func (p *Proxy) pump(l *link, d Direction) {
	from, to := l.client, l.server
	if d == ToClient {
		from, to = to, from
	}
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		p.bytes.Add(int64(n))
		if n > 0 && p.pass(l, d) {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			p.end(l, d, to)
			return
		}
	}
}

// end passes the end of a stream on, unless the fault would hide it.
func (p *Proxy) end(l *link, d Direction, to net.Conn) {
	if !p.pass(l, d) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// pass waits while the link is frozen, applies the delay, and reports whether the
// data may go on.
func (p *Proxy) pass(l *link, d Direction) bool {
	delayed := false
	for {
		p.mu.Lock()
		frozen, delay, changed, closed := l.frozen, p.delay, p.changed, p.closed
		dropped := p.drop[d]
		l.damaged = l.damaged || dropped
		p.mu.Unlock()
		switch {
		case closed || dropped:
			return false
		case frozen:
			<-changed
		case delay > 0 && !delayed:
			delayed = true
			wait(delay, changed)
		default:
			return true
		}
	}
}

// wait waits for d or for a change of the faults.
func wait(d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	}
}
