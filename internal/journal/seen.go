package journal

import "crypto/sha256"

// maxSeenIDs bounds the remembered record IDs of a stream. A repeated record follows its
// first copy within the duration of an outage, in which far fewer records are appended.
const maxSeenIDs = 1 << 15

// idHash is a truncated SHA-256 sum of a record ID. Callers choose parts of the IDs, so
// with a hash that is not collision-resistant one caller could suppress the records of
// another.
type idHash [16]byte

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(sum[:16])
}

// seenIDs holds the offsets of the last maxSeenIDs record IDs.
type seenIDs struct {
	offsets map[idHash]int64
	order   []idHash
	oldest  int // index in order of the oldest ID once order is full
}

func newSeenIDs() *seenIDs { return &seenIDs{offsets: make(map[idHash]int64)} }

func (s *seenIDs) find(id string) (int64, bool) {
	o, ok := s.offsets[hashID(id)]
	return o, ok
}

// add stores the offset of an ID and reports whether the ID is new.
func (s *seenIDs) add(id string, offset int64) bool {
	k := hashID(id)
	if _, ok := s.offsets[k]; ok {
		return false
	}
	s.offsets[k] = offset
	if len(s.order) < maxSeenIDs {
		s.order = append(s.order, k)
		return true
	}
	delete(s.offsets, s.order[s.oldest])
	s.order[s.oldest] = k
	s.oldest = (s.oldest + 1) % maxSeenIDs
	return true
}
