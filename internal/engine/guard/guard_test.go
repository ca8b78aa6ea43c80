package guard

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func newTestGuard(memoryMB, descriptors, outgoing int) *Guard {
	g := New(Options{
		MemoryMB: memoryMB, MaxDescriptors: descriptors, OutgoingConns: func() int { return outgoing },
		Metrics: gometrics.NewRegistry(), Logger: zap.NewNop(),
	})
	g.memory.read = func() uint64 { return 0 }
	return g
}

// TestConnectionsLeaveDescriptors guards against callers that take the descriptors that the
// store and the workers need, and against bounds that ordinary callers meet.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	for _, c := range []struct{ memory, descriptors, outgoing, least, most int }{
		{144, 3075, 20, 1500, 3075 - 200 - 512}, {144, 3075, 1000, 1500, 3075 - 200 - 1000},
		{536, 8192, 4000, 3000, 8192 - 200 - 4000}, {96, 600, 20, 200, 400 - 100}, {536, 4100, 8000, 487, 487}, {144, 0, 20, 1500, 1600},
	} {
		if got := newTestGuard(c.memory, c.descriptors, c.outgoing).MaxConns(); got < c.least || got > c.most {
			t.Errorf("%+v: got %d connections", c, got)
		}
	}
}

// TestCallsInProgressAreBounded guards against calls that wait for the store without a bound.
func TestCallsInProgressAreBounded(t *testing.T) {
	g := newTestGuard(1, 0, 0)
	for range minCalls {
		if !g.Begin() {
			t.Fatal("a call got no place")
		}
	}
	if g.Begin() {
		t.Error("a call beyond the bound got a place")
	}
	g.End()
	if !g.Begin() {
		t.Error("a place that was returned is not given again")
	}
}

// TestBodiesLeavePlacesForCalls guards against one organisation whose unfinished bodies keep the
// calls of others out.
func TestBodiesLeavePlacesForCalls(t *testing.T) {
	g := newTestGuard(1, 0, 0)
	for range minCalls {
		if !g.Begin() {
			t.Fatal("a call got no place")
		}
		if r := g.budget.open("a", func() {}); r.hold(1) != nil {
			r.release()
			g.End()
		}
	}
	if !g.Begin() {
		t.Error("no place is left")
	}
}

// TestRefusalsAreLoggedOnceASecond guards against a log that grows with an attack.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	g := New(Options{MemoryMB: 144, Metrics: gometrics.NewRegistry(), Logger: zap.New(core)})
	start := time.Now()
	for range 1000 {
		g.Refuse(Memory)
	}
	if most := 1 + int(time.Since(start)/logInterval); lines.Len() < 1 || lines.Len() > most {
		t.Errorf("%d lines, want at most %d", lines.Len(), most)
	}
}

// readBody sends a request with the given body to a server that reads it, and returns what the
// server got.
func readBody(t *testing.T, g *Guard, header, body string, l BodyLimits) (data string, err error) {
	t.Helper()
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		defer close(done)
		var b *Body
		if b, err = g.ReadBody(rw, r, l); err == nil {
			data = string(b.Data)
			b.Release()
		}
	}))
	defer server.Close()
	c, dialErr := net.Dial("tcp", server.Listener.Addr().String())
	if dialErr != nil {
		t.Fatal(dialErr)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"+body)
	<-done
	return data, err
}

// TestReadBody guards against a body that is cut, or taken although it is too large, and
// against memory that is kept afterwards.
func TestReadBody(t *testing.T) {
	const limit = 10000
	whole := strings.Repeat("b", limit)
	for _, c := range []struct {
		header, body, want string
		err                error
	}{
		{"Content-Length: 4\r\n", "body", "body", nil},
		{"Content-Length: 10000\r\n", whole, whole, nil},
		{"Content-Length: 10001\r\n", "", "", ErrTooLarge},
		{"Transfer-Encoding: chunked\r\n", "2710\r\n" + whole + "\r\n0\r\n\r\n", whole, nil},
		{"Transfer-Encoding: chunked\r\n", strings.Repeat("1\r\nb\r\n", limit) + "0\r\n\r\n", whole, nil},
		{"Transfer-Encoding: chunked\r\n", "2711\r\n" + whole + "b\r\n0\r\n\r\n", "", ErrTooLarge},
		{"Transfer-Encoding: chunked\r\n", "no length\r\n", "", ErrIncomplete},
	} {
		g := newTestGuard(144, 0, 0)
		got, err := readBody(t, g, c.header, c.body, BodyLimits{MaxBytes: limit, Timeout: time.Second})
		if !errors.Is(err, c.err) || got != c.want || g.budget.inUse() != 0 {
			t.Errorf("%s: got %d bytes, error %v, %d bytes in use", c.header, len(got), err, g.budget.inUse())
		}
	}
}

// TestNoBodiesWithoutMemory guards against jobs that are accepted until the process is killed.
func TestNoBodiesWithoutMemory(t *testing.T) {
	g := newTestGuard(144, 0, 0)
	for _, c := range []struct {
		used uint64 // MiB
		want error
	}{{72, nil}, {107, nil}, {109, ErrOverloaded}, {72, nil}} {
		g.memory.read, g.memory.checked = func() uint64 { return c.used << 20 }, time.Time{}
		if _, err := readBody(t, g, "Content-Length: 4\r\n", "body", BodyLimits{MaxBytes: 4}); !errors.Is(err, c.want) {
			t.Errorf("%d MiB: got %v, want %v", c.used, err, c.want)
		}
	}
}

// TestBodyBeyondBudget guards against a body that is received although nothing is left for it.
func TestBodyBeyondBudget(t *testing.T) {
	g := newTestGuard(1, 0, 0)
	_, err := readBody(t, g, "Content-Length: 200000\r\n", strings.Repeat("b", 200000), BodyLimits{MaxBytes: 1 << 20, Timeout: time.Second})
	if !errors.Is(err, ErrOverloaded) || g.budget.inUse() != 0 {
		t.Errorf("got %v, %d bytes in use", err, g.budget.inUse())
	}
}
