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

// logService is the append-only log.
type logService struct {
	limits  LogLimits
	limiter *rate.Limiter

	mu      sync.Mutex
	faults  logState
	streams map[string]*stream
	appends int64
	refused int64
}

// logState holds the faults in force.
type logState struct {
	down, silent, loseAnswers bool
	slow                      time.Duration // before every append
}

// stream is one stream of the log.
type stream struct {
	records []logRecord
	next    int64
	changed chan struct{} // closed by the next append
}

type logRecord struct {
	logservice.Record
	at time.Time
}

func newLogService(limits LogLimits) *logService {
	// The burst lets 100 ms worth of appends arrive at once.
	burst := max(1, int(limits.AppendsPerSecond/10))
	return &logService{
		limits:  limits,
		limiter: rate.NewLimiter(rate.Limit(limits.AppendsPerSecond), burst),
		streams: map[string]*stream{},
	}
}

// stream returns the named stream. The lock is held.
func (l *logService) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *logService) state() logState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// unavailable answers a call while the log is down or silent.
func (l *logService) unavailable(rw http.ResponseWriter, r *http.Request) bool {
	state := l.state()
	if state.silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if state.down {
		http.Error(rw, "the log service is down", http.StatusServiceUnavailable)
	}
	return state.down
}

// serveAppend answers POST /streams/{stream}/append.
func (l *logService) serveAppend(rw http.ResponseWriter, r *http.Request) {
	var request logservice.AppendRequest
	err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxAppendBytes)).Decode(&request)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if l.unavailable(rw, r) {
		return
	}
	if !l.limiter.Allow() {
		l.count(&l.refused)
		http.Error(rw, "the append rate is exceeded", http.StatusTooManyRequests)
		return
	}
	sleep(context.Background(), l.state().slow)
	first := l.append(r.PathValue("stream"), request.Records)
	if l.state().loseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, http.StatusOK, logservice.AppendResponse{First: first})
}

func (l *logService) count(counter *int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
}

// append adds records and returns the offset of the first.
func (l *logService) append(name string, records [][]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(name)
	first := s.next
	now := time.Now()
	for _, data := range records {
		record := logservice.Record{Offset: s.next, Data: data}
		s.records = append(s.records, logRecord{Record: record, at: now})
		s.next++
	}
	close(s.changed)
	s.changed = make(chan struct{})
	l.retain(s)
	return first
}

// retain drops records beyond the retention by count and time. The lock is held.
func (l *logService) retain(s *stream) {
	oldest := time.Now().Add(-time.Duration(l.limits.RetentionSeconds) * time.Second)
	drop := max(0, len(s.records)-l.limits.RetentionRecords)
	for drop < len(s.records) && s.records[drop].at.Before(oldest) {
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
	if l.unavailable(rw, r) {
		return
	}
	batch := l.read(r.Context(), r.PathValue("stream"), from, min(millis(waitMS), maxReadWait), limit)
	if l.unavailable(rw, r) {
		return
	}
	writeCompressed(rw, r, batch)
}

// read returns records and waits for one when there is none.
func (l *logService) read(ctx context.Context, name string, from int64, wait time.Duration, limit int) logservice.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed := l.batch(name, from, limit)
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

// batch returns what a read can get now, and a channel that the next append or
// change of faults closes.
func (l *logService) batch(name string, from int64, limit int) (logservice.Batch, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.retain(s)
	first := s.next - int64(len(s.records))
	batch := logservice.Batch{First: first, Head: s.next}
	start := max(0, from-first)
	bytes := 0
	for i := start; i < int64(len(s.records)); i++ {
		record := s.records[i].Record
		bytes += len(record.Data)
		full := len(batch.Records) >= min(limit, maxReadRecords) || bytes > maxReadBytes
		if full && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, record)
	}
	return batch, s.changed
}

// setState applies new faults and ends the pending reads.
func (l *logService) setState(change func(*logState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
