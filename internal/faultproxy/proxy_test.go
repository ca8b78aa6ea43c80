package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echo starts a server that sends every line back, behind a proxy.
func echo(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := Listen(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		_ = listener.Close()
	})
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a line and reads one back within the limit.
func ask(conn net.Conn, limit time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "hello\n"); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

const (
	long  = 5 * time.Second
	short = 100 * time.Millisecond
)

// dialAndAsk opens a connection to a cut proxy. The reset may already reach the
// dial.
func dialAndAsk(p *Proxy) error {
	conn, err := net.DialTimeout("tcp", p.Address(), long)
	if err != nil {
		return err
	}
	defer conn.Close()
	return ask(conn, long)
}

// TestCut guards against a cut link that lets bytes or new connections through,
// and against one that stays cut.
func TestCut(t *testing.T) {
	p := echo(t)
	conn := dial(t, p)
	if err := ask(conn, long); err != nil {
		t.Fatal(err)
	}
	p.Cut()
	if err := ask(conn, long); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection gave %v, want a reset", err)
	}
	if err := dialAndAsk(p); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a new connection gave %v, want a reset", err)
	}
	p.Restore()
	if err := ask(dial(t, p), long); err != nil {
		t.Errorf("after the restore: %v", err)
	}
}

// TestDrop guards against a one-way cut that closes the connection, and against
// a stream with a gap after the restore.
func TestDrop(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient} {
		p := echo(t)
		conn := dial(t, p)
		p.Drop(d)
		if err := ask(conn, short); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d: got %v, want silence", d, err)
		}
		p.Restore()
		if err := ask(conn, long); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d: the damaged connection gave %v, want a reset", d, err)
		}
		if err := ask(dial(t, p), long); err != nil {
			t.Errorf("direction %d: after the restore: %v", d, err)
		}
	}
}

// TestFreeze guards against a freeze that also silences new connections or loses
// what it held back.
func TestFreeze(t *testing.T) {
	p := echo(t)
	old := dial(t, p)
	if err := ask(old, long); err != nil {
		t.Fatal(err)
	}
	p.Freeze()
	if err := ask(old, short); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the frozen connection gave %v, want silence", err)
	}
	if err := ask(dial(t, p), long); err != nil {
		t.Errorf("a new connection: %v", err)
	}
	p.Restore()
	if err := ask(old, long); err != nil {
		t.Errorf("the old connection after the restore: %v", err)
	}
}

// TestDelayAndReset guards against a delay that is not applied in both directions
// and against a reset that outlives its moment.
func TestDelayAndReset(t *testing.T) {
	p := echo(t)
	conn := dial(t, p)
	p.Delay(short)
	begin := time.Now()
	if err := ask(conn, long); err != nil || time.Since(begin) < 2*short {
		t.Errorf("got %v after %v, want an answer after at least %v", err, time.Since(begin), 2*short)
	}
	p.Reset()
	if err := ask(conn, long); err == nil {
		t.Error("the connection outlived its reset")
	}
	p.Restore()
	if err := ask(dial(t, p), long); err != nil {
		t.Errorf("after the reset: %v", err)
	}
}
