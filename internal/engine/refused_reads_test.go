package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// countingStore counts the reads of a host.
type countingStore struct {
	store.Store
	reads *atomic.Int64
}

func (s countingStore) Owners(ctx context.Context, group string) (map[int]string, error) {
	s.reads.Add(1)
	return s.Store.Owners(ctx, group)
}

func (s countingStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]store.Record, int64, error) {
	s.reads.Add(1)
	return s.Store.Read(ctx, topic, from, wait)
}

func (s countingStore) Newest(ctx context.Context, topic string) ([]store.Record, int64, error) {
	s.reads.Add(1)
	return s.Store.Newest(ctx, topic)
}

// TestRefusedReadsAreSpread guards against hosts that answer refused reads with more reads: the limit on the rate is shared by all hosts, and hundreds of them would keep one another out.
func TestRefusedReadsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 2})
		defer c.close()
		reads := &atomic.Int64{}
		c.wrapStore = func(_ string, s store.Store) store.Store { return countingStore{s, reads} }
		c.addHost("standby")
		time.Sleep(settleTime)
		c.store.SetHostFaults("standby", standin.StoreFaults{Refuse: true})
		time.Sleep(2 * time.Second)
		reads.Store(0)
		const seconds, maxRate = 10, 16
		time.Sleep(seconds * time.Second)
		if n := reads.Load(); n > seconds*maxRate {
			t.Errorf("%d reads in %d s, all refused; want at most %d a second", n, seconds, maxRate)
		}
		c.store.SetHostFaults("standby", standin.StoreFaults{})
		time.Sleep(2 * time.Second)
		if ok, reason := c.hosts["standby"].Ready(); !ok {
			t.Errorf("the host is not ready 2 s after its reads are accepted again: %s", reason)
		}
	})
}
