package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestProcessWithoutStoreServesThroughPeers guards against a process that refuses its callers
// because it alone has lost the store: it is refused, its connections are reset, or they hang.
func TestProcessWithoutStoreServesThroughPeers(t *testing.T) {
	c := newCluster(t, buildDaemon(t), 92)
	for _, p := range c.hosts {
		awaitRecord(t, c, "h/"+p.name)
	}
	awaitRecord(t, c, "o/owner")
	cut := c.hosts[0]
	if c.owner() == cut {
		cut = c.hosts[1]
	}
	faults := []func(*process){
		func(p *process) { c.store.SetHostFaults(p.name, standin.StoreFaults{Refuse: true}) },
		func(p *process) { c.store.SetHostFaults(p.name, standin.StoreFaults{}); p.proxy.Cut() },
		func(p *process) { p.proxy.Restore(); p.proxy.Drop(faultproxy.ToClient) },
	}
	body := []byte(`{"spec":"{}","steps":[{"count":1,"cpu":1000,"memMb":10,"estMs":100}]}`)
	for i, begin := range faults {
		begin(cut)
		path := fmt.Sprintf("/urgent/%016x", i+1)
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			if status, answer := callUntilServed(cut, method, path, body); status != http.StatusOK {
				t.Errorf("fault %d: %s returned %d %s", i, method, status, answer)
			}
		}
	}
}

// callUntilServed repeats a call until it succeeds, for up to 15 s: a host may read the records of
// its peers some seconds after they were written.
func callUntilServed(p *process, method, path string, body []byte) (status int, answer []byte) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, answer = p.call(method, path, body); status == http.StatusOK {
			break
		}
	}
	return status, answer
}

// awaitRecord waits until the topic of the statuses has a record.
func awaitRecord(t *testing.T, c *cluster, key string) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if _, ok := c.store.Newest(replica.TopicStatuses, key); ok {
			return
		}
	}
	t.Fatalf("no record %s", key)
}
