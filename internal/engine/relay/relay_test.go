package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"github.com/daisyfold/daisyfold/internal/engine/guard"
	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// TestRank guards against calls that cross zones without need, that go to a peer which has just
// failed, and that spare a host which is another one at the same name.
func TestRank(t *testing.T) {
	const now = time.Hour
	peers := []Peer{{Host: "far", Address: "4", Zone: "b"}, {Host: "near", Address: "1", Zone: "a"}, {Host: "proven", Address: "2", Zone: "a"}, {Host: "failed", Address: "3", Zone: "a"}}
	failed := history{address: "3"}
	failed.silent(now)
	seen := map[string]history{"failed": failed, "proven": {address: "2", answeredAt: now - time.Second}}
	names := func(peers []Peer) string {
		var hosts []string
		for _, p := range peers {
			hosts = append(hosts, p.Host)
		}
		return strings.Join(hosts, " ")
	}
	if got := names(rank(peers, "a", seen, now)); got != "proven near far" {
		t.Errorf("got %s", got)
	}
	if got := names(pick(rank(peers, "a", seen, now+2*minSilenceBackoff), "a", 2)); got != "proven far" {
		t.Errorf("two of several zones: got %s", got)
	}
	peers[3].Address = "5"
	if got := names(rank(peers, "a", seen, now)); !strings.Contains(got, "failed") {
		t.Errorf("after a change of the address: got %s", got)
	}
}

// TestSilentPeerIsAskedRarely guards against a host that is gone for good and costs each call a
// timeout.
func TestSilentPeerIsAskedRarely(t *testing.T) {
	h, asked := history{}, 0
	for now := time.Duration(0); now < time.Hour; now += 100 * time.Millisecond {
		if now >= h.avoidUntil {
			h.silent(now)
			asked++
		}
	}
	if asked > 70 {
		t.Errorf("asked %d times in an hour", asked)
	}
}

// TestDirectory guards against addresses from damaged records, against hosts that are gone and
// stay known for good, and against a host that relays to itself.
func TestDirectory(t *testing.T) {
	const now = 10 * 24 * 3_600_000
	d := NewDirectory("self")
	records := []store.Record{
		Peer{Host: "self", Address: "10.0.0.1:7000", Zone: "a", WrittenMS: now}.record(),
		Peer{Host: "peer", Address: "10.0.0.2:7000", Zone: "a", WrittenMS: now}.record(),
		Peer{Host: "gone", Address: "10.0.0.3:7000", Zone: "a", WrittenMS: now - maxAge.Milliseconds() - 1}.record(),
		Peer{Host: "name", Address: "store.example:80", WrittenMS: now}.record(),
		{Key: "h/long", Value: []byte(`{"address":"10.0.0.4:7000","writtenMs":1,"zone":"` + strings.Repeat("z", maxRecordBytes) + `"}`)},
		{Key: "h/text", Value: []byte("x")}, {Key: "h/", Value: []byte("{}")}, {Key: "s/job", Value: []byte("q")},
	}
	d.Reset(records)
	if others := d.Others(now); len(others) != 1 || others[0].Host != "peer" {
		t.Errorf("got %+v", others)
	}
	if expired := d.Expired(now, 16); len(expired) != 1 || expired[0] != "gone" {
		t.Errorf("expired: %v", expired)
	}
	d.Apply([]store.Record{{Key: "h/peer", Value: []byte("x")}, {Key: "h/gone"}})
	if others, expired := d.Others(now), d.Expired(now, 16); len(others)+len(expired) != 0 {
		t.Errorf("after their ends: %+v, %v", others, expired)
	}
	for i := range 2 * maxPeers {
		d.Apply([]store.Record{Peer{Host: fmt.Sprint(i), Address: "10.0.0.2:7000", WrittenMS: now}.record()})
	}
	if n := len(d.Others(now)); n > maxPeers {
		t.Errorf("%d peers", n)
	}
}

// fakeIntake returns one answer to all calls.
type fakeIntake struct {
	answer intake.Answer
	call   intake.Call
	job    work.Job
}

func (f *fakeIntake) Submit(_ context.Context, c intake.Call, job work.Job) intake.Answer {
	f.call, f.job = c, job
	return f.answer
}
func (f *fakeIntake) Cancel(context.Context, intake.Call, string) intake.Answer { return f.answer }
func (f *fakeIntake) Status(context.Context, intake.Call, string) intake.Answer { return f.answer }
func (f *fakeIntake) CountWaiting(context.Context, intake.Call) intake.Answer   { return f.answer }

func newTestService(t *testing.T, host string) (*Service, *fakeIntake) {
	now := func() time.Duration { return time.Hour }
	operator := replica.NewOperator(nil, nil, zap.NewNop())
	operator.SetFollower(replica.NewFollower(replica.Options{Now: now}))
	s := New(Options{
		Host: host, Zone: "a", Store: store.Watch(nil, now), Transport: NewHTTPTransport(), Operator: operator,
		Now: now, WallClock: time.Now, Metrics: gometrics.NewRegistry(), Logger: zaptest.NewLogger(t),
	})
	f := &fakeIntake{}
	s.SetIntake(f)
	return s, f
}

func newTestGuard() *guard.Guard {
	return guard.New(guard.Options{Metrics: gometrics.NewRegistry(), Logger: zap.NewNop()})
}

// TestHTTP guards against calls and answers that change on their way, against a call that another
// host at the address executes, and against outcomes that are taken for refusals.
func TestHTTP(t *testing.T) {
	peer, f := newTestService(t, "peer")
	server := httptest.NewServer(NewHandler(peer, newTestGuard()))
	defer server.Close()
	address := server.Listener.Addr().String()
	sender, _ := newTestService(t, "sender")
	r := intake.Request{
		Operation: intake.Submission, ID: "5c0e7a21d94b36f8", Call: intake.Call{Host: "h", Path: "/q/5c0e7a21d94b36f8", Key: "key", MinManifest: 7},
		Job: &work.Job{ID: "5c0e7a21d94b36f8", Spec: "s", Steps: []work.Step{{Tasks: 2, After: []int{0}, Gang: true}}},
	}
	relayTo := func(host, address string) intake.Relayed {
		sender.Directory.Reset([]store.Record{Peer{Host: host, Address: address, Zone: "a", WrittenMS: time.Now().UnixMilli()}.record()})
		clear(sender.seen)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		return sender.Relay(ctx, r)
	}
	for outcome := intake.OK; outcome <= intake.Unknown; outcome++ {
		f.answer = intake.Answer{Outcome: outcome, Reason: "reason", RetryAfter: time.Second}
		got := relayTo("peer", address)
		switch {
		case outcome == intake.TryLater || outcome == intake.Unknown:
			if got.Answered || got.MayHaveRun != (outcome == intake.Unknown) {
				t.Errorf("%s: got %+v", outcome, got)
			}
		case !got.Answered || got.Answer != f.answer || got.MayHaveRun:
			t.Errorf("%s: got %+v", outcome, got)
		}
	}
	if !f.call.Relayed || f.call.Key != "key" || f.call.Path != r.Call.Path || f.call.MinManifest != 7 || f.job.Steps[0].Tasks != 2 || !f.job.Steps[0].Gang {
		t.Errorf("the peer got %+v with %+v", f.call, f.job)
	}
	f.answer = intake.Answer{}
	if got := relayTo("another", address); got.Answered || got.MayHaveRun {
		t.Errorf("another host at the address: got %+v", got)
	}
	peer.Stop()
	if got := relayTo("peer", address); got.Answered || got.MayHaveRun {
		t.Errorf("a stopping host: got %+v", got)
	}
	server.Close()
	if got := relayTo("peer", address); got.Answered {
		t.Errorf("a connection that breaks: got %+v", got)
	}
	sender.Transport = NewHTTPTransport() // without kept connections, on which the outcome is open
	if got := relayTo("peer", address); got.Answered || got.MayHaveRun {
		t.Errorf("a closed port: got %+v", got)
	}
	broken := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte(`{"outcome":99}`)) }))
	defer broken.Close()
	if got := relayTo("peer", broken.Listener.Addr().String()); got.Answered || !got.MayHaveRun {
		t.Errorf("an invalid reply: got %+v", got)
	}
}

// TestHandlerBounds guards against calls of peers without a bound on their number, size or time.
func TestHandlerBounds(t *testing.T) {
	peer, _ := newTestService(t, "peer")
	valid := Request{To: "peer", Operation: intake.WaitingCount, TimeoutMS: 100}
	if _, err := peer.Execute(t.Context(), valid); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Request){
		"no time": func(r *Request) { r.TimeoutMS = 0 }, "too much time": func(r *Request) { r.TimeoutMS = 1 << 40 },
		"no job": func(r *Request) { r.Operation = intake.Submission }, "unknown operation": func(r *Request) { r.Operation = "x" },
	} {
		r := valid
		change(&r)
		if _, err := peer.Execute(t.Context(), r); !errors.Is(err, ErrNotExecuted) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	post := func(body string) int {
		rw := httptest.NewRecorder()
		NewHandler(peer, newTestGuard()).ServeHTTP(rw, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return rw.Code
	}
	const small = `{"to":"peer","operation":"count","timeoutMs":100}`
	if code := post(small); code != http.StatusOK {
		t.Errorf("a small call returned %d", code)
	}
	if code := post(small + strings.Repeat(" ", maxMessageBytes)); code != statusNotExecuted {
		t.Errorf("a large call returned %d", code)
	}
	for range maxIncoming {
		peer.incoming <- struct{}{}
	}
	if code := post(small); code != statusNotExecuted {
		t.Errorf("one call too many returned %d", code)
	}
}

// refusingStore refuses all calls.
type refusingStore struct{ store.Store }

func (refusingStore) Append(context.Context, string, []store.Record) (int64, error) {
	return 0, store.ErrRefused
}

// TestPeerWithoutStore guards against calls that wait at a peer whose store fails it as well.
func TestPeerWithoutStore(t *testing.T) {
	peer, _ := newTestService(t, "peer")
	peer.Store = store.Watch(refusingStore{}, peer.Now)
	_, _ = peer.Store.Append(t.Context(), replica.TopicJobs, nil)
	if _, err := peer.Execute(t.Context(), Request{To: "peer", Operation: intake.Cancellation, TimeoutMS: 100}); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("a cancellation: got %v", err)
	}
	if _, err := peer.Execute(t.Context(), Request{To: "peer", Operation: intake.WaitingCount, TimeoutMS: 100}); err != nil {
		t.Errorf("a count, which only reads: got %v", err)
	}
}

// TestPeerThatNeverAnswers guards against a call that waits for a peer until its caller has left.
func TestPeerThatNeverAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	sender, _ := newTestService(t, "sender")
	var records []store.Record
	for i := range 5 {
		records = append(records, Peer{Host: fmt.Sprint(i), Address: l.Addr().String(), Zone: "a", WrittenMS: time.Now().UnixMilli()}.record())
	}
	sender.Directory.Reset(records)
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	if got := sender.Relay(ctx, intake.Request{Operation: intake.WaitingCount}); got.Answered || !got.MayHaveRun || ctx.Err() != nil {
		t.Errorf("got %+v, context: %v", got, ctx.Err())
	}
}

// TestTooLargeCall guards against a call that is not sent for its size and yet keeps the calls of
// others from all peers for half a second.
func TestTooLargeCall(t *testing.T) {
	sender, _ := newTestService(t, "sender")
	sender.Directory.Reset([]store.Record{Peer{Host: "peer", Address: "127.0.0.1:1", Zone: "a", WrittenMS: time.Now().UnixMilli()}.record()})
	r := intake.Request{Operation: intake.Submission, Job: &work.Job{Spec: strings.Repeat("s", maxMessageBytes)}}
	if got := sender.Relay(t.Context(), r); got.Answered || got.MayHaveRun {
		t.Errorf("got %+v", got)
	}
	if n := len(sender.peers()); n != 1 {
		t.Errorf("%d peers are left for other calls", n)
	}
	if errors.Is(notExecuted("reason"), ErrTooLarge) || errors.Is(trace.Wrap(ErrTooLarge), ErrNotExecuted) {
		t.Error("a refusal of the peer and a call that was not sent are not told apart")
	}
}

// fakeTransport counts the calls and fails them all.
type fakeTransport struct {
	err   error
	calls int
}

func (f *fakeTransport) Send(context.Context, string, Request) (Reply, error) {
	f.calls++
	return Reply{}, f.err
}

// TestStoreDownForManyHosts guards against a host that asks all others in turn, two times a second
// each, while the store is down for all, and against one call that keeps others from being relayed.
func TestStoreDownForManyHosts(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		calls int // to peers
	}{
		"refused": {notExecuted("the store fails this host, too"), maxAttempts}, "too large": {ErrTooLarge, 100 * maxAttempts},
	} {
		sender, _ := newTestService(t, "sender")
		now := time.Hour
		sender.Now = func() time.Duration { return now }
		f := &fakeTransport{err: c.err}
		sender.Transport = f
		var records []store.Record
		for i := range 146 {
			records = append(records, Peer{Host: fmt.Sprint(i), Address: "10.0.0.2:7000", Zone: "a", WrittenMS: time.Now().UnixMilli()}.record())
		}
		sender.Directory.Reset(records)
		relay := func() {
			for range 100 {
				if got := sender.Relay(t.Context(), intake.Request{Operation: intake.Submission}); got.Answered || got.MayHaveRun {
					t.Fatalf("%s: got %+v", name, got)
				}
			}
		}
		if relay(); f.calls != c.calls {
			t.Errorf("%s: %d calls to 146 peers for 100 submissions", name, f.calls)
		}
		now += refusalBackoff
		if relay(); f.calls != 2*c.calls {
			t.Errorf("%s: %d calls half a second later", name, f.calls)
		}
	}
}
