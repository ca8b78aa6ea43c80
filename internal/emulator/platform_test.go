package emulator

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
	"github.com/daisyfold/daisyfold/internal/platform/logservice"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
)

// newTestEmulator returns an emulator with one target, and a client of its log service.
// A change can modify the deployment first.
func newTestEmulator(change func(*Deployment)) (*Emulator, *logservice.Client) {
	d := Default()
	d.Zones = []Zone{{Name: "quimper", Targets: []TargetGroup{{Service: "exchange", Count: 1}}}}
	if change != nil {
		change(&d)
	}
	e := New(d, "http://platform")
	return e, logservice.NewWithTransport("http://platform", Transport(e.Handler()))
}

func truePointer() *bool {
	value := true
	return &value
}

// TestAppendOutcomes guards against an append that is reported as not applied although
// it was, and the reverse.
func TestAppendOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		fault      LogFault
		notApplied bool
		records    int64
	}{
		{"down", LogFault{Down: truePointer()}, true, 0},
		{"response dropped", LogFault{DropResponses: truePointer()}, false, 1},
		{"silent", LogFault{Silent: truePointer()}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, client := newTestEmulator(nil)
				e.SetFaults(Faults{Log: &c.fault})
				_, err := client.Append(t.Context(), "jobs", [][]byte{[]byte("x")})
				if err == nil || errors.Is(err, logservice.ErrNotApplied) != c.notApplied {
					t.Errorf("got %v", err)
				}
				if got := e.log.stats().Records; got != c.records {
					t.Errorf("got %d records, want %d", got, c.records)
				}
			})
		})
	}
}

// TestAppendRate guards against a log that accepts more appends than its rate limit.
func TestAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, client := newTestEmulator(func(d *Deployment) { d.Log.AppendsPerSecond = 100 })
		refused := 0
		for range 400 {
			_, err := client.Append(t.Context(), "jobs", [][]byte{[]byte("x")})
			if errors.Is(err, logservice.ErrNotApplied) {
				refused++
			}
			time.Sleep(5 * time.Millisecond)
		}
		if accepted := e.log.stats().Appends; accepted < 195 || accepted > 215 || refused != 400-int(accepted) {
			t.Errorf("accepted %d and refused %d appends in 2 s at 100 per second", accepted, refused)
		}
	})
}

// TestReadRetentionAndWait guards against offsets that change when records expire, and
// against a waiting read that misses an append.
func TestReadRetentionAndWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newTestEmulator(func(d *Deployment) { d.Log.RetentionRecords = 3 })
		for _, data := range []string{"a", "b", "c", "d", "e"} {
			if _, err := client.Append(t.Context(), "jobs", [][]byte{[]byte(data)}); err != nil {
				t.Fatal(err)
			}
		}
		batch, err := client.Read(t.Context(), "jobs", 0, 0, 2)
		if err != nil || batch.First != 2 || batch.Head != 5 || len(batch.Records) != 2 || batch.Records[0].Offset != 2 {
			t.Errorf("got %+v, %v", batch, err)
		}
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = client.Append(context.Background(), "jobs", [][]byte{[]byte("f")})
		}()
		begin := time.Now()
		batch, err = client.Read(t.Context(), "jobs", 5, 10*time.Second, 10)
		if err != nil || len(batch.Records) != 1 || time.Since(begin) != 2*time.Second {
			t.Errorf("got %+v, %v after %v", batch, err, time.Since(begin))
		}
	})
}

// TestHostListLag guards against a host list that shows changes at once, and against a
// client that misses a change.
func TestHostListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newTestEmulator(nil)
		client := hostlist.NewWithTransport("http://platform", Transport(e.Handler()))
		fetch := func() (leaving, changed bool) {
			list, changed, err := client.Fetch(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return list.Targets[0].Leaving, changed
		}
		fetch()
		e.SetFaults(Faults{Targets: []TargetFault{{Zone: "quimper", Leaving: truePointer()}}})
		if leaving, changed := fetch(); leaving || changed {
			t.Errorf("before the lag: leaving %v, changed %v", leaving, changed)
		}
		time.Sleep(1100 * time.Millisecond)
		if leaving, changed := fetch(); !leaving || !changed {
			t.Errorf("after the lag: leaving %v, changed %v", leaving, changed)
		}
	})
}

// callTarget sends one request to the only target. It returns the status and headers of
// the response, or 0 and nil on an error.
func callTarget(e *Emulator, attempt string) (int, http.Header) {
	request, err := http.NewRequest(http.MethodPost, "http://platform/targets/exchange-quimper-1/call", strings.NewReader("body"))
	if err != nil {
		return 0, nil
	}
	request.Header.Set(targetlink.HeaderAttemptID, attempt)
	response, err := Transport(e.Handler()).RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Header
}

// TestTargetSlots guards against a target that runs more requests than it has slots, or
// that reports a request as not run although it runs it.
func TestTargetSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newTestEmulator(func(d *Deployment) { d.Target.Slots = 2 })
		notRunReplies := make(chan bool, 5)
		for range 5 {
			go func() {
				status, header := callTarget(e, "a")
				notRunReplies <- status == http.StatusServiceUnavailable && header.Get(targetlink.HeaderNotRun) == "true"
			}()
		}
		notRun := 0
		for range 5 {
			if <-notRunReplies {
				notRun++
			}
		}
		if ran := len(e.Ledger().Executions); ran != 2 || notRun != 3 {
			t.Errorf("%d requests ran and %d were reported as not run, want 2 and 3", ran, notRun)
		}
	})
}

// TestSwappedResponses guards against a fault that no client can detect: a swapped
// response must have the ID of the other attempt.
func TestSwappedResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newTestEmulator(nil)
		e.SetFaults(Faults{Targets: []TargetFault{{Zone: "quimper", SwapResponses: truePointer()}}})
		callTarget(e, "first")
		if _, header := callTarget(e, "second"); header.Get(targetlink.HeaderAttemptID) != "first" {
			t.Errorf("the second response has attempt ID %q, want that of the first one", header.Get(targetlink.HeaderAttemptID))
		}
	})
}

// TestConnectionLimit guards against a target that accepts more connections than its
// limit, and against one that accepts none after some are closed.
func TestConnectionLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &limitedListener{Listener: inner, limit: 2}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	dial()
	<-accepted
	if _, err := io.ReadAll(dial()); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("read from the third connection: %v, want EOF or a reset", err)
	}
	_ = first.Close()
	dial()
	<-accepted
}
