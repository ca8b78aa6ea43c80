package drain

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// acceptRetryDelay is the delay after a failed accept, for example without free descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// listener is a server's listener.
type listener struct {
	*net.TCPListener
	server   *Server
	stopping atomic.Bool
	failing  bool // the last accept failed; used only by Accept
}

// Accept implements net.Listener. When the listener stops, Accept returns the connections
// in the queue, closes the listener and returns http.ErrServerClosed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.waitForPlace()
		tcp, err := l.AcceptTCP()
		if l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			tcp, err = l.acceptQueued()
		}
		switch {
		case err == nil:
			l.failing = false
			c := l.server.add(tcp)
			l.server.makePlace()
			return c, nil
		case errors.Is(err, syscall.EAGAIN):
			_ = l.Close()
			return nil, http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return nil, http.ErrServerClosed
		}
		l.logFailure(err)
		time.Sleep(acceptRetryDelay)
	}
}

// acceptQueued accepts a connection without waiting. If the queue is empty, it stops
// listening at once, because what arrives until then will be reset, and returns EAGAIN.
func (l *listener) acceptQueued() (*net.TCPConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var acceptErr error
	if err := raw.Control(func(listenerFD uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(acceptErr, syscall.EAGAIN) {
			_ = syscall.Shutdown(int(listenerFD), syscall.SHUT_RD) // Accept closes the listener in any case
		}
	}); err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }() // FileConn duplicates the descriptor
	c, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// waitForPlace waits until the server has fewer connections than it may have, or is stopping.
// New connections wait in the kernel's queue meanwhile.
func (l *listener) waitForPlace() {
	for !l.stopping.Load() && l.server.isFull() {
		l.server.makePlace()
		select {
		case <-l.server.freed:
		case <-time.After(acceptRetryDelay):
		}
	}
}

func (l *listener) logFailure(err error) {
	if !l.failing {
		l.server.log.Warn("connections cannot be accepted", zap.Error(err))
	}
	l.failing = true
}

// stop makes Accept return once the queue is empty.
func (l *listener) stop() {
	if !l.stopping.Swap(true) {
		_ = l.SetDeadline(past)
	}
}

// singleListener is a listener that returns one connection.
type singleListener struct {
	conn *conn
	done bool
}

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	if l.done {
		return nil, net.ErrClosed
	}
	l.done = true
	return l.conn, nil
}

// Close implements net.Listener.
func (l *singleListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleListener) Addr() net.Addr { return l.conn.LocalAddr() }
