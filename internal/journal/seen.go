package journal

import "crypto/sha256"

// maxSeen bounds the remembered record IDs of a stream. A repeated record follows
// its first copy within an outage, which is far fewer records.
const maxSeen = 1 << 15

// idKey is a cut SHA-256 sum: callers choose parts of the IDs, so a hash with
// constructible collisions would let one caller hide the records of another.
type idKey [16]byte

func keyOf(id string) idKey {
	sum := sha256.Sum256([]byte(id))
	return idKey(sum[:16])
}

// seenIDs remembers the offsets of the last maxSeen record IDs.
type seenIDs struct {
	offsets map[idKey]int64
	order   []idKey
	next    int
}

func newSeenIDs() *seenIDs { return &seenIDs{offsets: make(map[idKey]int64)} }

func (s *seenIDs) find(id string) (int64, bool) {
	o, ok := s.offsets[keyOf(id)]
	return o, ok
}

// add remembers an ID and reports whether it is new.
func (s *seenIDs) add(id string, offset int64) bool {
	k := keyOf(id)
	if _, ok := s.offsets[k]; ok {
		return false
	}
	s.offsets[k] = offset
	if len(s.order) < maxSeen {
		s.order = append(s.order, k)
		return true
	}
	delete(s.offsets, s.order[s.next])
	s.order[s.next] = k
	s.next = (s.next + 1) % maxSeen
	return true
}
