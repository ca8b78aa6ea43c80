// Package faultproxy provides a TCP proxy that injects faults between a client and a
// server: lost data in one direction, refused connections, delays, stalled connections
// and resets. It is for tests and scenarios only.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Direction is the direction of data through the proxy.
type Direction int

// Directions of data through the proxy.
const (
	ToServer Direction = iota
	ToClient
	directionCount
)

const (
	dialTimeout     = 2 * time.Second
	copyBufferBytes = 16 << 10
)

// Proxy forwards TCP connections from one local address to one server.
type Proxy struct {
	listener      net.Listener
	server        string
	goroutines    sync.WaitGroup
	receivedBytes atomic.Int64

	mu          sync.Mutex
	changed     chan struct{} // closed and replaced when the faults change
	closed      bool
	cut         bool
	drop        [directionCount]bool
	delay       time.Duration
	connections map[*connection]struct{}
}

// connection is a client's connection and the corresponding connection to the server.
type connection struct {
	client, server net.Conn
	// frozen and lostData are guarded by the proxy's lock. A connection with
	// lostData has dropped data, so it cannot carry a valid stream any more.
	frozen, lostData bool
}

// Listen starts a proxy on a free loopback port that forwards to the address server.
func Listen(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p := &Proxy{
		listener:    listener,
		server:      server,
		changed:     make(chan struct{}),
		connections: map[*connection]struct{}{},
	}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address that clients use.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Bytes returns the number of bytes that the proxy has received in both directions.
func (p *Proxy) Bytes() int64 { return p.receivedBytes.Load() }

// changeFaults calls apply with the lock held and wakes the copying goroutines.
func (p *Proxy) changeFaults(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut resets all connections and every new one.
func (p *Proxy) Cut() {
	p.changeFaults(func() {
		p.cut = true
		p.resetAll()
	})
}

// Drop discards the data of one direction. Connections stay open, and new ones are
// accepted.
func (p *Proxy) Drop(d Direction) {
	p.changeFaults(func() { p.drop[d] = true })
}

// Delay delays the data in each direction by d.
func (p *Proxy) Delay(d time.Duration) {
	p.changeFaults(func() { p.delay = d })
}

// Freeze stops forwarding data on the existing connections. New ones work.
func (p *Proxy) Freeze() {
	p.changeFaults(func() {
		for conn := range p.connections {
			conn.frozen = true
		}
	})
}

// Reset resets the existing connections. New ones work.
func (p *Proxy) Reset() {
	p.changeFaults(p.resetAll)
}

// Restore ends all faults. Frozen connections forward the data that they held back;
// connections that lost data are reset.
func (p *Proxy) Restore() {
	p.changeFaults(func() {
		p.cut, p.delay, p.drop = false, 0, [directionCount]bool{}
		for conn := range p.connections {
			conn.frozen = false
			if conn.lostData {
				conn.reset()
			}
		}
	})
}

// Close resets all connections, stops the proxy and waits for its goroutines.
func (p *Proxy) Close() {
	p.changeFaults(func() {
		p.closed = true
		p.resetAll()
	})
	_ = p.listener.Close()
	p.goroutines.Wait()
}

// resetAll resets all connections. The caller holds the lock.
func (p *Proxy) resetAll() {
	for conn := range p.connections {
		conn.reset()
	}
}

// reset closes both sides with a TCP reset.
func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
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
		p.goroutines.Go(func() { p.connect(client) })
	}
}

// connect opens the connection to the server and copies data in both directions until
// both have ended.
func (p *Proxy) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &connection{client: client, server: server}
	if !p.register(conn) {
		conn.reset()
		return
	}
	defer p.unregister(conn)
	var copies sync.WaitGroup
	copies.Go(func() { p.copyDirection(conn, ToServer) })
	copies.Go(func() { p.copyDirection(conn, ToClient) })
	copies.Wait()
}

// register adds a connection. It returns false if connections are refused.
func (p *Proxy) register(conn *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut || p.closed {
		return false
	}
	p.connections[conn] = struct{}{}
	return true
}

func (p *Proxy) unregister(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, conn)
	_ = conn.client.Close()
	_ = conn.server.Close()
}

// copyDirection copies the data of one direction until either side ends.
func (p *Proxy) copyDirection(conn *connection, d Direction) {
	from, to := conn.client, conn.server
	if d == ToClient {
		from, to = to, from
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		p.receivedBytes.Add(int64(n))
		if n > 0 && p.awaitForward(conn, d) {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			p.forwardEOF(conn, d, to)
			return
		}
	}
}

// forwardEOF forwards the end of a stream, unless a fault drops it.
func (p *Proxy) forwardEOF(conn *connection, d Direction, to net.Conn) {
	if !p.awaitForward(conn, d) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// awaitForward waits while the connection is frozen, applies the delay, and reports
// whether the data may be forwarded.
func (p *Proxy) awaitForward(conn *connection, d Direction) bool {
	delayed := false
	for {
		p.mu.Lock()
		frozen, delay, changed, closed := conn.frozen, p.delay, p.changed, p.closed
		dropped := p.drop[d]
		conn.lostData = conn.lostData || dropped
		p.mu.Unlock()
		switch {
		case closed || dropped:
			return false
		case frozen:
			<-changed
		case delay > 0 && !delayed:
			delayed = true
			waitOrChange(delay, changed)
		default:
			return true
		}
	}
}

// waitOrChange waits for d, or until the faults change if that is earlier.
func waitOrChange(d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	}
}
