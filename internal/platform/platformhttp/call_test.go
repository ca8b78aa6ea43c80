package platformhttp_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/logservice"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// TestAppendNotApplied guards against reporting an append as not applied although the log
// may have it, and against leaving its effect open although no byte was sent.
func TestAppendNotApplied(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusingURL := "http://" + closed.Addr().String()
	_ = closed.Close()
	serverWithStatus := func(status int) string {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			if status == 0 {
				panic(http.ErrAbortHandler)
			}
			rw.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	cases := []struct {
		name, base string
		want       bool
	}{
		{"connection refused", refusingURL, true},
		{"status 429", serverWithStatus(http.StatusTooManyRequests), true},
		{"status 503", serverWithStatus(http.StatusServiceUnavailable), true},
		{"status 500", serverWithStatus(http.StatusInternalServerError), false},
		{"connection reset", serverWithStatus(0), false},
		{"empty response", serverWithStatus(http.StatusOK), false},
	}
	for _, c := range cases {
		client := logservice.New(c.base, metrics.NewRegistry())
		_, err := client.Append(t.Context(), "jobs", [][]byte{[]byte("x")})
		if err == nil || errors.Is(err, logservice.ErrNotApplied) != c.want {
			t.Errorf("%s: got %v, want not applied: %v", c.name, err, c.want)
		}
	}
}

// TestWorkerRefusalAndTrafficCounters guards against reporting a worker's refusal like a
// broken connection, and against traffic that is not counted.
func TestWorkerRefusalAndTrafficCounters(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusConflict)
		_, _ = rw.Write([]byte(`{"code": "fenced", "message": "token 1, the worker is at 2"}`))
	}))
	defer server.Close()
	registry := metrics.NewRegistry()
	worker := workerlink.New(registry).Worker(model.Worker{Address: server.URL + "/"})
	err := worker.Release(t.Context(), workerlink.ReleaseRequest{Token: 1})
	var refused *workerlink.Error
	if !errors.As(err, &refused) || refused.Body.Code != workerlink.CodeFenced || refused.Status != http.StatusConflict {
		t.Errorf("got %v, want a refusal with code fenced", err)
	}
	for _, name := range []string{"worker.bytes_sent", "worker.bytes_received"} {
		counter, ok := registry.Get(name).(metrics.Counter)
		if !ok || counter.Count() < 50 {
			t.Errorf("%s does not count the call", name)
		}
	}
}
