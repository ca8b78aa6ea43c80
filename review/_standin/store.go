// Stand-ins for the platform that the scripts of this review start: the log store, the
// executors, the operator and the requesters. They follow the users' pages.
package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the store, as in the settings file of a small installation.
const (
	recordBytes   = 262144
	callBytes     = 2097152
	appendTime    = 4 * time.Millisecond
	answerTime    = 4 * time.Millisecond
	bytesPerSec   = 20e6
	maxQueue      = 2 * time.Second
	groupParts    = 8
	newestItems   = 500
	newestBytes   = 1 << 20
	writesPerSec  = 800
	readsPerSec   = 2000
	repeatsKnown  = 5
	maxReadWait   = 30 * time.Second
	defaultReadKB = 1024
)

type newest struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, next int64
	fresh       bool
	answers     map[int64][2]int64
}

// partition is partition 0 of a topic; the system under test uses no other.
type partition struct {
	records   [][]byte
	newest    map[string]newest
	producers map[string]*producer
	busyUntil time.Time
	changed   chan struct{}
}

type member struct {
	expires time.Time
	ttl     time.Duration
}

type group struct {
	generation int64
	members    map[string]member
	owners     [groupParts]string
	topic      string
}

// Store is the platform's log store.
type Store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	groups  map[string]*group
	window  time.Time
	writes  int
	reads   int
	refused map[string]int // rejected appends by reason
	slow    time.Duration  // added to the time of each answer
}

func newStore() *Store {
	return &Store{parts: map[string]*partition{}, groups: map[string]*group{}, refused: map[string]int{}}
}

func (s *Store) part(topic string) *partition {
	p := s.parts[topic]
	if p == nil {
		p = &partition{newest: map[string]newest{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.parts[topic] = p
	}
	return p
}

func (p *partition) add(records [][]byte) (first, end int64) {
	first = int64(len(p.records))
	for _, r := range records {
		if len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newest{value, int64(len(p.records))}
			}
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return first, int64(len(p.records))
}

// put writes a keyed record for the operator or an executor; no value deletes the key.
func (s *Store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic).add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// admit applies the limits on calls per second.
func (s *Store) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.window) > time.Second {
		s.window, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerSec
	}
	s.reads++
	return s.reads <= readsPerSec
}

// answer waits as long as the store takes for an answer.
func (s *Store) answer() {
	s.mu.Lock()
	d := answerTime + s.slow
	s.mu.Unlock()
	time.Sleep(d)
}

// setSlow makes the store take x times as long for an answer.
func (s *Store) setSlow(x int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = time.Duration(x-1) * answerTime
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type fields = map[string]any

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	limited := func(write bool, f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if !s.admit(write) {
				reply(w, http.StatusTooManyRequests, fields{"error": "try later"})
				return
			}
			f(w, r)
		}
	}
	mux.HandleFunc("POST /-/log-append", limited(true, s.append))
	mux.HandleFunc("POST /-/log-trim", limited(true, func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, fields{}) }))
	mux.HandleFunc("GET /-/log-read", limited(false, s.read))
	mux.HandleFunc("GET /-/log-newest", limited(false, s.newestOf))
	mux.HandleFunc("GET /-/log-owners", limited(false, s.ownersOf))
	mux.HandleFunc("POST /-/log-join", s.join)
	mux.HandleFunc("POST /-/log-leave", s.leave)
	return mux
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *Store) reject(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.refused[reason]++
	s.mu.Unlock()
	reply(w, status, fields{"error": reason})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			s.reject(w, http.StatusBadRequest, "the body is no list of records")
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			s.reject(w, http.StatusBadRequest, "a record is larger than recordBytes")
			return
		}
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	if len(body) > callBytes {
		s.reject(w, http.StatusBadRequest, "the call is larger than callBytes")
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"))
	now := time.Now()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	if p.busyUntil.Sub(now) > maxQueue {
		s.mu.Unlock()
		reply(w, http.StatusServiceUnavailable, fields{"error": "try later"})
		return
	}
	p.busyUntil = p.busyUntil.Add(appendTime + time.Duration(float64(len(body))/bytesPerSec*float64(time.Second)))
	until := p.busyUntil.Add(s.slow)
	s.mu.Unlock()
	time.Sleep(time.Until(until))
	s.mu.Lock()
	status, v := p.execute(r, records)
	s.mu.Unlock()
	reply(w, status, v)
}

// execute carries out an append. The caller holds the lock.
func (p *partition) execute(r *http.Request, records [][]byte) (int, fields) {
	q := r.URL.Query()
	if q.Has("at") && number(r, "at") != int64(len(p.records)) {
		return http.StatusPreconditionFailed, fields{"endOffset": len(p.records)}
	}
	if !q.Has("producer") {
		first, end := p.add(records)
		return http.StatusOK, fields{"offset": first, "endOffset": end}
	}
	epoch, seq := number(r, "epoch"), number(r, "seq")
	pr := p.producers[q.Get("producer")]
	if pr == nil || epoch > pr.epoch {
		pr = &producer{epoch: epoch, fresh: true, answers: map[int64][2]int64{}}
		p.producers[q.Get("producer")] = pr
	}
	if epoch < pr.epoch {
		return http.StatusConflict, fields{"reason": "fenced"}
	}
	if len(records) == 0 {
		return http.StatusOK, fields{"offset": len(p.records), "endOffset": len(p.records)}
	}
	if a, known := pr.answers[seq]; known && seq >= pr.next-repeatsKnown {
		return http.StatusOK, fields{"offset": a[0], "endOffset": a[1]}
	}
	if !pr.fresh && seq != pr.next {
		return http.StatusConflict, fields{"reason": "seq", "seq": pr.next}
	}
	first, end := p.add(records)
	pr.fresh, pr.next = false, seq+1
	pr.answers[seq] = [2]int64{first, end}
	return http.StatusOK, fields{"offset": first, "endOffset": end}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	wait := min(time.Duration(number(r, "waitMs"))*time.Millisecond, maxReadWait)
	limit := number(r, "maxKb")
	if limit <= 0 {
		limit = defaultReadKB
	}
	deadline := time.Now().Add(wait)
	s.answer()
	for {
		s.mu.Lock()
		p := s.part(r.URL.Query().Get("topic"))
		if from < int64(len(p.records)) || !time.Now().Before(deadline) {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < int64(len(p.records)); i++ {
				if i > from && len(out)+len(p.records[i]) > int(limit)<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
				out = append(out, p.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := p.changed
		s.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (s *Store) newestOf(w http.ResponseWriter, r *http.Request) {
	s.answer()
	s.mu.Lock()
	p := s.part(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	items, more, size := []fields{}, false, 0
	for _, k := range keys {
		if k <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == newestItems || (size > 0 && size+len(p.newest[k].value) > newestBytes) {
			more = true
			break
		}
		size += len(p.newest[k].value)
		items = append(items, fields{"key": k, "value": p.newest[k].value, "offset": p.newest[k].offset})
	}
	end := len(p.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, fields{"items": items, "more": more, "endOffset": end})
}

type memberCall struct {
	Group, Member string
	Topics        []string
	TTLMs         int64 `json:"ttlMs"`
	Generation    int64
}

func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]member{}}
		s.groups[name] = g
	}
	for name, m := range g.members {
		if time.Now().After(m.expires) {
			g.remove(name)
		}
	}
	return g
}

func (g *group) remove(name string) {
	if _, known := g.members[name]; !known {
		return
	}
	delete(g.members, name)
	g.generation++
	for i, o := range g.owners {
		if o == name {
			g.owners[i] = ""
		}
	}
}

func (g *group) intended(part int) string {
	names := make([]string, 0, len(g.members))
	for m := range g.members {
		names = append(names, m)
	}
	sort.Strings(names)
	return names[part%len(names)]
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var c memberCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Topics) == 0 {
		reply(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	s.answer()
	s.mu.Lock()
	g := s.group(c.Group)
	g.topic = c.Topics[0]
	if _, known := g.members[c.Member]; !known {
		g.generation++
	}
	ttl := time.Duration(c.TTLMs) * time.Millisecond
	g.members[c.Member] = member{time.Now().Add(ttl), ttl}
	rows := [][]any{}
	for i := range g.owners {
		want := g.intended(i)
		if g.owners[i] == c.Member && want != c.Member && c.Generation >= g.generation {
			g.owners[i] = ""
		}
		if g.owners[i] == "" && want == c.Member {
			g.owners[i] = c.Member
		}
		if g.owners[i] == c.Member && want == c.Member {
			rows = append(rows, []any{g.topic, i, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	reply(w, http.StatusOK, fields{"generation": generation, "ttlMs": c.TTLMs, "parts": rows})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var c memberCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		reply(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	s.answer()
	s.mu.Lock()
	s.group(c.Group).remove(c.Member)
	s.mu.Unlock()
	reply(w, http.StatusOK, fields{})
}

func (s *Store) ownersOf(w http.ResponseWriter, r *http.Request) {
	s.answer()
	s.mu.Lock()
	g := s.group(r.URL.Query().Get("group"))
	rows := [][]any{}
	for i, o := range g.owners {
		if o != "" {
			rows = append(rows, []any{g.topic, i, o, 0})
		}
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, fields{"parts": rows})
}
