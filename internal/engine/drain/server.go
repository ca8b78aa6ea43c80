// Package drain serves HTTP/1.1 and stops without losing requests. A draining server
// responds to whatever arrives on its open connections and asks the clients to close them.
// It closes idle connections only at the end, after a check for unread data.
package drain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Phases of a server that stops, in their order; 0 before that.
const (
	// phaseDraining: responses ask the client to close the connection.
	phaseDraining int32 = iota + 1
	// phaseAnswering: contexts of requests are canceled.
	phaseAnswering
	// phaseClosingIdle: idle connections are closed.
	phaseClosingIdle
	// phaseClosing: each connection is closed after what has been received is answered.
	phaseClosing
)

const (
	// pollInterval is the interval at which a draining server checks its connections.
	pollInterval = 20 * time.Millisecond
	// quietPeriod is how long a draining server must have had no connection before it
	// closes its listener early.
	quietPeriod = 300 * time.Millisecond
	// minClosingTime is the minimum time for the last responses. It matters if the process
	// was not run for so long that several deadlines passed at once.
	minClosingTime = 100 * time.Millisecond
)

// Deadlines are the times at which a draining server changes its behaviour, in their order.
type Deadlines struct {
	// Deregistered is when clients have stopped opening connections. From then on, the
	// server stops once it has no connection.
	Deregistered time.Time
	// Refuse is when the server stops accepting connections in any case. It is earlier than
	// Answer, so that new connections carry their first request by then.
	Refuse time.Time
	// Answer is when the contexts of requests are canceled.
	Answer time.Time
	// CloseIdle is when idle connections are closed. It is later than Answer, because clients
	// that have waited for a response may then use their other connections.
	CloseIdle time.Time
	// Cut is when the server stops waiting for the rest of unfinished requests.
	Cut time.Time
	// End is when the connections that are still open are closed, but not within
	// minClosingTime after the server has noticed Cut.
	End time.Time
}

// Server is an HTTP server that can drain its connections.
type Server struct {
	http           *http.Server
	handler        http.Handler
	log            *zap.Logger
	requestContext context.Context
	cancelRequests context.CancelFunc
	phase          atomic.Int32
	listener       atomic.Pointer[listener]
	stopped        chan struct{} // closed when Serve has returned
	limits         Limits
	freed          chan struct{} // receives a value after a connection was closed

	receiving atomic.Int64 // connections that receive the header of a request

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server with the handler and limits of s, which must not be used
// otherwise, and bounds its connections. It replaces s.BaseContext, s.ConnContext and
// s.ConnState.
func NewServer(s *http.Server, limits Limits, log *zap.Logger) *Server {
	d := &Server{
		http: s, handler: s.Handler, log: log, stopped: make(chan struct{}), limits: limits,
		freed: make(chan struct{}, 1), conns: map[*conn]struct{}{},
	}
	d.requestContext, d.cancelRequests = context.WithCancel(context.Background())
	s.Handler = http.HandlerFunc(d.serveHTTP)
	s.BaseContext = func(net.Listener) context.Context { return d.requestContext }
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*conn).markIdle()
		}
	}
	return d
}

// Serve accepts connections until Drain or Close stops the server, and then returns nil. A
// server serves one listener.
func (s *Server) Serve(l *net.TCPListener) error {
	defer close(s.stopped)
	wrapped := &listener{TCPListener: l, server: s}
	s.listener.Store(wrapped)
	if s.phase.Load() >= phaseAnswering {
		wrapped.stop()
	}
	if err := s.http.Serve(wrapped); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain stops the server and returns the number of connections that it closed with an
// unfinished request.
func (s *Server) Drain(d Deadlines) (unfinished int) {
	s.advance(phaseDraining)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	emptySince := time.Now()
	var closingSince time.Time
	for range ticker.C {
		now := time.Now()
		if s.countConns() > 0 {
			emptySince = now
		}
		switch {
		case !now.Before(d.End) && !closingSince.IsZero() && now.Sub(closingSince) >= minClosingTime:
			return s.end()
		case !now.Before(d.Cut):
			if closingSince.IsZero() {
				closingSince = now
			}
			s.advance(phaseClosing)
		case !now.Before(d.CloseIdle):
			s.advance(phaseClosingIdle)
		case !now.Before(d.Answer):
			s.advance(phaseAnswering)
		case !now.Before(d.Refuse), !now.Before(d.Deregistered) && now.Sub(emptySince) >= quietPeriod:
			s.stopAccepting()
		}
		if s.hasStopped() && s.countConns() == 0 {
			s.cancelRequests()
			return 0
		}
	}
	return 0
}

// advance enters a phase and applies it to all connections.
func (s *Server) advance(phase int32) {
	s.phase.Store(phase)
	if phase < phaseAnswering {
		return
	}
	s.cancelRequests()
	s.stopAccepting()
	if phase < phaseClosingIdle {
		return
	}
	for _, c := range s.openConns() {
		c.interrupt(phase == phaseClosing)
	}
}

// end closes the listener and the open connections.
func (s *Server) end() (unfinished int) {
	if l := s.listener.Load(); l != nil {
		_ = l.Close()
	}
	return s.closeConns()
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.cancelRequests()
	_ = s.http.Close()
	s.closeConns()
}

func (s *Server) draining() bool { return s.phase.Load() >= phaseDraining }

func (s *Server) stopAccepting() {
	if l := s.listener.Load(); l != nil {
		l.stop()
	}
}

func (s *Server) hasStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return s.countConns() }

func (s *Server) countConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeConns closes all connections and returns how many of them had an unfinished request.
func (s *Server) closeConns() (unfinished int) {
	for _, c := range s.openConns() {
		if c.isBusy() {
			unfinished++
		}
		_ = c.TCPConn.Close()
	}
	return unfinished
}

func (s *Server) add(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, server: s, since: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	select {
	case s.freed <- struct{}{}:
	default:
	}
}
