package drain

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound the connections of a server, for clients that open many of them and send
// little or nothing.
type Limits struct {
	// Conns returns how many connections the server may have open; nil means no limit. Beyond
	// it the server closes idle ones, then those whose request is not complete, and accepts
	// no others until one is closed.
	Conns func() int
	// Receiving is how many connections may be receiving the header of a request; 0 means no
	// limit. The ones that have been receiving for longest are closed.
	Receiving int
	// Evicted is called for each connection that is closed; it may be nil.
	Evicted func()
}

const (
	// bodyTimeout is the time for a body that the handler does not wait for otherwise.
	bodyTimeout = 3 * time.Second
	// evictionDivisor is the share of the connections that is closed at once, which bounds how
	// often all of them are looked at.
	evictionDivisor = 64
	// minEvictionAge is how long a connection has been in its stage before it is closed: a
	// request that has just begun is likely to be complete soon.
	minEvictionAge = 100 * time.Millisecond
)

// stage is what a connection is doing. Connections of earlier stages are closed first.
type stage int

const (
	idle stage = iota
	receiving
	receivingBody
	executing
	lingering // closed by the server, see lingerTimeout
)

// enterLocked begins a stage. The caller holds the lock of the connection.
func (c *conn) enterLocked(s stage) {
	if c.stage == s {
		return
	}
	if c.stage == receiving {
		c.server.receiving.Add(-1)
	}
	if s == receiving {
		c.header = headerLines{}
		c.server.receiving.Add(1)
	}
	c.stage, c.since = s, time.Now()
}

// beginRequest notes that a header is complete. Its body has bodyTimeout unless the handler
// sets another deadline.
func (c *conn) beginRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setBusyLocked()
	if !hasBody {
		c.enterLocked(executing)
		return
	}
	c.enterLocked(receivingBody)
	c.readDeadline = time.Now().Add(bodyTimeout)
	c.applyReadDeadlineLocked()
}

// endBody notes that the body of the request is complete.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == receivingBody {
		c.enterLocked(executing)
	}
}

// isFull reports whether the server may accept no further connection.
func (s *Server) isFull() bool {
	return s.limits.Conns != nil && s.countConns() >= s.limits.Conns()
}

// makePlace closes connections if there are more than allowed or about to be.
func (s *Server) makePlace() {
	if s.isFull() {
		s.evict(s.limits.Conns()/evictionDivisor+1, idle, receivingBody)
	}
	if s.limits.Receiving > 0 && s.receiving.Load() > int64(s.limits.Receiving) {
		s.evict(s.limits.Receiving/evictionDivisor+1, receiving, receiving)
	}
}

// candidate is a connection that may be closed, as it was when it was looked at.
type candidate struct {
	conn    *conn
	stage   stage
	since   time.Time
	closing bool // evicted, and closed without a response
}

// evict closes connections whose stage is between first and last until n are about to be closed:
// those of earlier stages first, and of one stage those that entered it first.
func (s *Server) evict(n int, first, last stage) {
	latest := time.Now().Add(-minEvictionAge)
	var candidates []candidate
	for _, c := range s.openConns() {
		x, ok := c.asCandidate()
		switch {
		case x.stage < first || x.stage > last:
		case ok && x.since.Before(latest):
			candidates = append(candidates, x)
		case x.closing:
			n--
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.stage, y.stage), x.since.Compare(y.since))
	})
	for _, x := range candidates[:min(max(n, 0), len(candidates))] {
		if x.conn.evict(x.since) && s.limits.Evicted != nil {
			s.limits.Evicted()
		}
	}
}

func (c *conn) asCandidate() (candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := !c.closed && c.evicted && c.stage < receivingBody
	return candidate{c, c.stage, c.since, closing}, !c.closed && !c.evicted && c.stage < executing
}

// evict makes reads fail once no data is left, and reports whether it did: not if the stage that
// began at the given time is over. A connection whose request arrives nevertheless stays open.
func (c *conn) evict(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.stage >= executing || !c.since.Equal(since) {
		return false
	}
	c.evicted, c.noWait = true, true
	c.applyReadDeadlineLocked()
	return true
}
