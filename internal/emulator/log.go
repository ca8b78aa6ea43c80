package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisyfold/daisyfold/internal/platform/logservice"
)

// Limits of the log API.
const (
	maxAppendBytes = 1 << 20
	maxReadRecords = 1000
	maxReadBytes   = 1 << 20
	maxReadWait    = 30 * time.Second
)

// logService is the append-only log service.
type logService struct {
	limits  LogLimits
	limiter *rate.Limiter

	mu             sync.Mutex
	faults         logFaults
	streams        map[string]*stream
	appends        int64
	refusedAppends int64
}

// logFaults are the faults in force.
type logFaults struct {
	down, silent, dropResponses bool
	appendDelay                 time.Duration // before each append
}

// stream is one stream of the log.
type stream struct {
	records    []logRecord
	nextOffset int64
	changed    chan struct{} // closed by the next append or change of faults
}

type logRecord struct {
	logservice.Record
	appendedAt time.Time
}

func newLogService(limits LogLimits) *logService {
	// The burst is the number of appends in 100 ms.
	burst := max(1, int(limits.AppendsPerSecond/10))
	return &logService{
		limits:  limits,
		limiter: rate.NewLimiter(rate.Limit(limits.AppendsPerSecond), burst),
		streams: map[string]*stream{},
	}
}

// stream returns the named stream and creates it if needed. The caller holds mu.
func (l *logService) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *logService) currentFaults() logFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// rejectIfUnavailable responds to a call while the log is down, and reports whether it
// is. If the log is silent, it aborts the call without a response once the caller is
// gone.
func (l *logService) rejectIfUnavailable(rw http.ResponseWriter, r *http.Request) bool {
	faults := l.currentFaults()
	if faults.silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.down {
		http.Error(rw, "the log service is down", http.StatusServiceUnavailable)
	}
	return faults.down
}

// serveAppend answers POST /streams/{stream}/append.
func (l *logService) serveAppend(rw http.ResponseWriter, r *http.Request) {
	var request logservice.AppendRequest
	err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxAppendBytes)).Decode(&request)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if l.rejectIfUnavailable(rw, r) {
		return
	}
	if !l.limiter.Allow() {
		l.increment(&l.refusedAppends)
		http.Error(rw, "the append rate is exceeded", http.StatusTooManyRequests)
		return
	}
	sleep(context.Background(), l.currentFaults().appendDelay)
	first := l.append(r.PathValue("stream"), request.Records)
	if l.currentFaults().dropResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, http.StatusOK, logservice.AppendResponse{First: first})
}

func (l *logService) increment(counter *int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
}

// append adds the records to the stream and returns the offset of the first.
func (l *logService) append(name string, records [][]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(name)
	first := s.nextOffset
	now := time.Now()
	for _, data := range records {
		record := logservice.Record{Offset: s.nextOffset, Data: data}
		s.records = append(s.records, logRecord{Record: record, appendedAt: now})
		s.nextOffset++
	}
	close(s.changed)
	s.changed = make(chan struct{})
	l.dropExpired(s)
	return first
}

// dropExpired drops the records that exceed the retention by count or by time. The
// caller holds mu.
func (l *logService) dropExpired(s *stream) {
	cutoff := time.Now().Add(-time.Duration(l.limits.RetentionSeconds) * time.Second)
	drop := max(0, len(s.records)-l.limits.RetentionRecords)
	for drop < len(s.records) && s.records[drop].appendedAt.Before(cutoff) {
		drop++
	}
	s.records = s.records[drop:]
}

// serveRead answers GET /streams/{stream}/records.
func (l *logService) serveRead(rw http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseInt(r.FormValue("from"), 10, 64)
	waitMS, errWait := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	limit, errMax := strconv.Atoi(r.FormValue("max"))
	if errFrom != nil || errWait != nil || errMax != nil {
		http.Error(rw, "from, wait and max must be numbers", http.StatusBadRequest)
		return
	}
	if l.rejectIfUnavailable(rw, r) {
		return
	}
	batch := l.read(r.Context(), r.PathValue("stream"), from, min(milliseconds(waitMS), maxReadWait), limit)
	if l.rejectIfUnavailable(rw, r) {
		return
	}
	writeCompressed(rw, r, batch)
}

// read returns records from the given offset on. It waits for one if there is none, and
// returns an empty batch when the wait or the context ends.
func (l *logService) read(ctx context.Context, name string, from int64, wait time.Duration, limit int) logservice.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed := l.collectBatch(name, from, limit)
		if len(batch.Records) > 0 || wait <= 0 {
			return batch
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// collectBatch returns the records that a read can get now, and a channel that the
// next append or change of faults closes.
func (l *logService) collectBatch(name string, from int64, limit int) (logservice.Batch, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropExpired(s)
	first := s.nextOffset - int64(len(s.records))
	batch := logservice.Batch{First: first, Head: s.nextOffset}
	start := max(0, from-first)
	size := 0
	for i := start; i < int64(len(s.records)); i++ {
		record := s.records[i].Record
		size += len(record.Data)
		full := len(batch.Records) >= min(limit, maxReadRecords) || size > maxReadBytes
		if full && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, record)
	}
	return batch, s.changed
}

// updateFaults changes the faults and wakes the pending reads.
func (l *logService) updateFaults(change func(*logFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
