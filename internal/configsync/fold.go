package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/journal"
)

const (
	// maxEdits bounds the accepted edits that a reader remembers. All readers must
	// use the same number, because it decides whether a repeated ID is accepted.
	maxEdits = 512
	// maxHeld bounds the edits that a reader without a state keeps for the next
	// snapshot. A snapshot follows the record it speaks of by one append.
	maxHeld = 16
)

// heldEdit is an edit that a reader without a state cannot judge yet.
type heldEdit struct {
	offset int64
	edit   journal.ConfigEdit
}

// fold is the state that the config stream's records lead to. It depends on the
// records only, so every reader reaches the same versions.
type fold struct {
	// synced is false while records are missing: after a start behind the first
	// kept record, or after a gap, until a snapshot arrives.
	synced  bool
	version int64
	text    []byte
	through int64 // offset of the last record; -1 before the first
	edits   []journal.AcceptedEdit
	byID    map[string]journal.AcceptedEdit
	held    []heldEdit
	// heldFrom is the offset from which held misses no edit.
	heldFrom int64
}

func newFold() *fold {
	return &fold{synced: true, through: -1, byID: make(map[string]journal.AcceptedEdit)}
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// gap drops the state: records before first are missing.
func (f *fold) gap(first int64) {
	f.synced = false
	f.held = nil
	f.heldFrom = first
}

// apply takes one record. An unreadable body counts as a refused record.
func (f *fold) apply(offset int64, r journal.Record) {
	switch r.Kind {
	case journal.KindConfigEdit:
		var e journal.ConfigEdit
		if json.Unmarshal(r.Body, &e) == nil && e.ID != "" {
			f.applyEdit(offset, e)
		}
	case journal.KindConfigSnapshot:
		var s journal.ConfigSnapshot
		if json.Unmarshal(r.Body, &s) == nil {
			f.adopt(s)
		}
	}
	f.through = offset
}

func (f *fold) applyEdit(offset int64, e journal.ConfigEdit) {
	if !f.synced {
		f.hold(heldEdit{offset, e})
		return
	}
	if _, repeated := f.byID[e.ID]; repeated || e.BaseVersion != f.version {
		return
	}
	f.version++
	f.text = e.Text
	f.remember(journal.AcceptedEdit{ID: e.ID, Version: f.version, Digest: digest(e.Text)})
}

func (f *fold) hold(h heldEdit) {
	if len(f.held) == maxHeld {
		f.heldFrom = f.held[0].offset + 1
		f.held = f.held[1:]
	}
	f.held = append(f.held, h)
}

func (f *fold) remember(e journal.AcceptedEdit) {
	if len(f.edits) == maxEdits {
		delete(f.byID, f.edits[0].ID)
		f.edits = append([]journal.AcceptedEdit(nil), f.edits[1:]...)
	}
	f.edits = append(f.edits, e)
	f.byID[e.ID] = e
}

// adopt starts a reader without a state from a snapshot and applies the edits after
// the snapshot's through offset. A reader with a state ignores snapshots, and a
// snapshot from before the gap is of no use.
func (f *fold) adopt(s journal.ConfigSnapshot) {
	if f.synced || s.ThroughOffset < f.heldFrom-1 {
		return
	}
	f.synced = true
	f.version, f.text = s.Version, s.Text
	f.edits = nil
	f.byID = make(map[string]journal.AcceptedEdit)
	for _, e := range s.Edits {
		f.remember(e)
	}
	f.through = max(f.through, s.ThroughOffset)
	held := f.held
	f.held = nil
	for _, h := range held {
		if h.offset > s.ThroughOffset {
			f.applyEdit(h.offset, h.edit)
		}
	}
}

func (f *fold) snapshot() journal.ConfigSnapshot {
	return journal.ConfigSnapshot{
		Version: f.version, Text: f.text, ThroughOffset: f.through,
		Edits: append([]journal.AcceptedEdit(nil), f.edits...),
	}
}
