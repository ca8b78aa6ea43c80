// Package standin simulates the users' platform in tests: a log store with consumer
// groups, and workers that run tasks under leases. It works in real and in virtual time
// and injects the platform's faults on demand. It keeps a ledger of every run, so that
// tests find violations of the scheduler's guarantees independently of the scheduler.
package standin

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

const (
	// storeLatency is the duration of a call to the store without faults.
	storeLatency = 4 * time.Millisecond
	// storeTimeout is how long a caller waits for a response that does not come.
	storeTimeout = 1200 * time.Millisecond
)

const (
	// partitionCount is the number of partitions that the members of a group share.
	partitionCount = 8
	// rememberedAppends is how many of a producer's last appends the store recognises
	// when they are repeated; it then returns the result of the first attempt.
	rememberedAppends = 5
)

// StoreLimits are the limits that the store enforces.
var StoreLimits = store.Limits{RecordBytes: 256 << 10, CallBytes: 2 << 20}

// StoreFaults are the faults that the store injects, for all hosts or for one.
type StoreFaults struct {
	Down         bool          // calls get no response and are not executed
	Refuse       bool          // calls are refused and not executed
	ExtraLatency time.Duration // added to the latency of every call
	// LostRate is the share of writes (0 to 1) that are executed but get no response.
	LostRate float64
	// LateRate is the share of writes (0 to 1) that are executed 1 to 6 s later and get
	// no response.
	LateRate float64
}

// Store simulates the platform's log store.
type Store struct {
	mu           sync.Mutex
	rng          *rand.Rand
	topics       map[string]*topic
	groups       map[string]*group
	globalFaults StoreFaults
	hostFaults   map[string]StoreFaults
	// slowRefusals holds, by topic, how long the next call of Newest takes before it is
	// refused.
	slowRefusals map[string]time.Duration
	// invalid selects records that the store rejects for good; nil means none.
	invalid func(topic string, r store.Record) bool
}

// NewStore returns an empty store. The seed determines which writes are late or lost.
func NewStore(seed uint64) *Store {
	return &Store{
		rng: rand.New(rand.NewPCG(seed, 1)), topics: map[string]*topic{},
		groups: map[string]*group{}, hostFaults: map[string]StoreFaults{}, slowRefusals: map[string]time.Duration{},
	}
}

// topic is a log of keyed records with one partition.
type topic struct {
	firstOffset int64 // offset of the first retained record
	records     []store.Record
	newest      map[string]store.Record
	producers   map[string]*producer
	appended    chan struct{} // closed and replaced after an append
}

// producer is the state of a producer of fenced appends in one topic.
type producer struct {
	epoch, nextSeq int64
	anySeq         bool            // the next append may have any sequence number
	endOffsets     map[int64]int64 // results of earlier appends, by sequence number
}

// topic returns the topic of the given name, which is created if it does not exist. The
// caller holds the lock.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]store.Record{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) endOffset() int64 { return t.firstOffset + int64(len(t.records)) }

func (t *topic) append(records []store.Record) int64 {
	for _, r := range records {
		r.Offset = t.endOffset()
		t.records = append(t.records, r)
		t.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
	}
	if len(records) > 0 {
		close(t.appended)
		t.appended = make(chan struct{})
	}
	return t.endOffset()
}

// SetFaults sets the faults for all hosts.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.globalFaults = f
}

// SetHostFaults sets the faults for one host.
func (s *Store) SetHostFaults(host string, f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostFaults[host] = f
}

// RefuseNextLoad makes the store refuse the next call of Newest for the topic, after the
// given time.
func (s *Store) RefuseNextLoad(name string, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowRefusals[name] = after
}

// SetInvalid makes the store reject appends with a record that the function selects. The
// function is called with the store's lock held.
func (s *Store) SetInvalid(invalid func(topic string, r store.Record) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.invalid = invalid
}

// check returns an error if the store rejects the records for good. The caller holds the
// lock.
func (s *Store) check(name string, records []store.Record) error {
	for _, r := range records {
		if s.invalid != nil && s.invalid(name, r) {
			return trace.Wrap(store.ErrInvalid, "record %s of %s", r.Key, name)
		}
	}
	return StoreLimits.Check(records)
}

// Compact deletes the history of a topic. The newest record of each key remains
// available through Newest.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset = t.endOffset()
	t.records = nil
}

// Put appends records on behalf of the operator and the workers, without faults.
func (s *Store) Put(name string, records ...store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(records)
}

// unavailable reports whether the store answers nobody.
func (s *Store) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.globalFaults.Down || s.globalFaults.Refuse
}

// Newest returns the newest record of a key and whether there is one.
func (s *Store) Newest(name, key string) (store.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.topic(name).newest[key]
	return r, ok
}

// Client returns a client of the store with the faults of the given host.
func (s *Store) Client(host string) store.Store { return &storeClient{s, host} }

type storeClient struct {
	*Store
	host string
}

// currentFaults returns the faults in force for the client's host. The caller holds the
// lock.
func (c *storeClient) currentFaults() StoreFaults {
	f, all := c.hostFaults[c.host], c.globalFaults
	f.Down = f.Down || all.Down
	f.Refuse = f.Refuse || all.Refuse
	f.ExtraLatency = max(f.ExtraLatency, all.ExtraLatency)
	f.LostRate = max(f.LostRate, all.LostRate)
	f.LateRate = max(f.LateRate, all.LateRate)
	return f
}

var errNoStoreAnswer = trace.ConnectionProblem(nil, "the store did not answer")

// sleep waits for d. It returns the context's error if the context ends earlier.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// beginCall waits for the latency of a call and returns the faults in force, or an error
// if the call must not be executed.
func (c *storeClient) beginCall(ctx context.Context) (StoreFaults, error) {
	c.mu.Lock()
	f := c.currentFaults()
	c.mu.Unlock()
	switch {
	case f.Down:
		if err := sleep(ctx, storeTimeout); err != nil {
			return f, err
		}
		return f, errNoStoreAnswer
	case f.Refuse:
		if err := sleep(ctx, storeLatency); err != nil {
			return f, err
		}
		return f, trace.Wrap(store.ErrRefused)
	}
	return f, sleep(ctx, storeLatency+f.ExtraLatency)
}

// write executes f with the faults of writes.
func (c *storeClient) write(ctx context.Context, f func() (int64, error)) (int64, error) {
	faults, err := c.beginCall(ctx)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	late, lost := c.rng.Float64() < faults.LateRate, c.rng.Float64() < faults.LostRate
	delay := time.Second + time.Duration(c.rng.Int64N(int64(5*time.Second)))
	c.mu.Unlock()
	if late {
		time.AfterFunc(delay, func() { _, _ = c.withLock(f) })
	} else if end, err := c.withLock(f); !lost {
		return end, err
	}
	if err := sleep(ctx, storeTimeout); err != nil {
		return 0, err
	}
	return 0, errNoStoreAnswer
}

// withLock calls f with the lock held.
func (c *storeClient) withLock(f func() (int64, error)) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f()
}

// Append implements store.Store.
func (c *storeClient) Append(ctx context.Context, name string, records []store.Record) (int64, error) {
	return c.write(ctx, func() (int64, error) {
		if err := c.check(name, records); err != nil {
			return 0, err
		}
		return c.topic(name).append(records), nil
	})
}

// AppendAt implements store.Store.
func (c *storeClient) AppendAt(ctx context.Context, name string, at int64, records []store.Record) (int64, error) {
	return c.write(ctx, func() (int64, error) {
		if err := c.check(name, records); err != nil {
			return 0, err
		}
		if t := c.topic(name); t.endOffset() != at {
			return 0, trace.Wrap(store.ErrConflict)
		}
		return c.topic(name).append(records), nil
	})
}

// AppendFenced implements store.Store.
func (c *storeClient) AppendFenced(ctx context.Context, name string, position store.Position, records []store.Record) (int64, error) {
	return c.write(ctx, func() (int64, error) {
		if err := c.check(name, records); err != nil {
			return 0, err
		}
		t := c.topic(name)
		p := t.producers[position.Producer]
		if p == nil || position.Epoch > p.epoch {
			p = &producer{epoch: position.Epoch, anySeq: true, endOffsets: map[int64]int64{}}
			t.producers[position.Producer] = p
		}
		return p.append(t, position, records)
	})
}

func (p *producer) append(t *topic, position store.Position, records []store.Record) (int64, error) {
	if position.Epoch < p.epoch {
		return 0, trace.Wrap(store.ErrFenced)
	}
	if len(records) == 0 {
		return t.endOffset(), nil
	}
	if end, repeated := p.endOffsets[position.Seq]; repeated && position.Seq >= p.nextSeq-rememberedAppends {
		return end, nil
	}
	if !p.anySeq && position.Seq != p.nextSeq {
		return 0, trace.Wrap(&store.SequenceError{Expected: p.nextSeq})
	}
	p.anySeq, p.nextSeq = false, position.Seq+1
	p.endOffsets[position.Seq] = t.append(records)
	return p.endOffsets[position.Seq], nil
}

// Read implements store.Store.
func (c *storeClient) Read(ctx context.Context, name string, from int64, maxWait time.Duration) ([]store.Record, int64, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	deadline := time.Now().Add(maxWait)
	for {
		c.mu.Lock()
		t := c.topic(name)
		if from < t.firstOffset {
			c.mu.Unlock()
			return nil, 0, trace.Wrap(store.ErrHistoryGone)
		}
		if from < t.endOffset() || !time.Now().Before(deadline) {
			records := append([]store.Record(nil), t.records[min(from-t.firstOffset, int64(len(t.records))):]...)
			end := t.endOffset()
			c.mu.Unlock()
			return records, end, nil
		}
		appended := t.appended
		c.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-appended:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, 0, ctx.Err()
		}
		timer.Stop()
		c.mu.Lock()
		down := c.currentFaults().Down
		c.mu.Unlock()
		if down {
			return nil, 0, errNoStoreAnswer
		}
	}
}

// Newest implements store.Store.
func (c *storeClient) Newest(ctx context.Context, name string) ([]store.Record, int64, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	after, refuse := c.slowRefusals[name]
	delete(c.slowRefusals, name)
	c.mu.Unlock()
	if refuse {
		if err := sleep(ctx, after); err != nil {
			return nil, 0, err
		}
		return nil, 0, trace.Wrap(store.ErrRefused)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(name)
	var records []store.Record
	for _, r := range t.newest {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records, t.endOffset(), nil
}
