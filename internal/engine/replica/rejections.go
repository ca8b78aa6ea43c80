package replica

import (
	"hash/maphash"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

const (
	// maxRejectionLogs is the number of lines for rejected records in rejectionLogWindow.
	maxRejectionLogs   = 20
	rejectionLogWindow = time.Minute
	// maxReasonBytes limits a logged reason, which may quote the record.
	maxReasonBytes = 200
	// maxKnownRejections bounds the memory for rejected records, in keys.
	maxKnownRejections = 4096
)

// Rejections counts the records of a topic that are not used, and logs each once until it
// changes.
type Rejections struct {
	topic   string
	counter gometrics.Counter
	now     boottime.Clock
	log     *zap.Logger
	seed    maphash.Seed

	mu    sync.Mutex
	known map[string]uint64 // hash of the rejected value by key
	// logged is the number of lines since windowStart, and omitted the number left out.
	logged, omitted int
	windowStart     time.Duration
}

// NewRejections returns a log of the topic's rejected records, which are counted in the metric
// replica.rejected.TOPIC.
func NewRejections(topic string, registry gometrics.Registry, now boottime.Clock, log *zap.Logger) *Rejections {
	return &Rejections{
		topic: topic, counter: gometrics.GetOrRegisterCounter("replica.rejected."+topic, registry), now: now, log: log,
		seed: maphash.MakeSeed(), known: map[string]uint64{}, windowStart: now(),
	}
}

// Reject notes that a record is not used.
func (j *Rejections) Reject(r store.Record, reason error) {
	j.counter.Inc(1)
	j.mu.Lock()
	defer j.mu.Unlock()
	hash := maphash.Bytes(j.seed, r.Value)
	if former, known := j.known[r.Key]; known && former == hash {
		return
	}
	if len(j.known) >= maxKnownRejections {
		clear(j.known)
	}
	j.known[r.Key] = hash
	if now := j.now(); now-j.windowStart >= rejectionLogWindow {
		j.windowStart, j.logged = now, 0
	}
	if j.logged == maxRejectionLogs {
		j.omitted++
		return
	}
	j.logged++
	text := reason.Error()
	text = text[:min(len(text), maxReasonBytes)]
	j.log.Warn("a record is not used", zap.String("topic", j.topic), zap.String("key", r.Key), zap.Int("bytes", len(r.Value)),
		zap.Int("lines_omitted", j.omitted), zap.String("reason", text))
	j.omitted = 0
}

// Accept notes that the record of a key is used, so that its next rejection is a change.
func (j *Rejections) Accept(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.known, key)
}
