package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/journal"
)

const (
	// maxAcceptedEdits is the number of accepted edits that a reader remembers. It must be
	// the same on all hosts, because it decides whether a repeated ID is accepted.
	maxAcceptedEdits = 512
	// maxDeferredEdits is the number of edits that a reader with missing records keeps for
	// the next snapshot. A snapshot follows the last record that it covers by one append.
	maxDeferredEdits = 16
)

// deferredEdit is an edit that cannot be evaluated while records are missing.
type deferredEdit struct {
	offset int64
	edit   journal.ConfigEdit
}

// configState is the state that results from the records of the config stream. It depends
// on the records only, so every host computes the same versions.
type configState struct {
	// synced is false while records are missing: after a start at which the log no longer
	// held the first records, or after a gap, until a snapshot arrives.
	synced        bool
	version       int64
	text          []byte
	throughOffset int64 // offset of the last record; -1 before the first
	acceptedEdits []journal.AcceptedEdit
	acceptedByID  map[string]journal.AcceptedEdit
	deferred      []deferredEdit
	// deferredFrom is the offset from which deferred contains every edit.
	deferredFrom int64
}

func newConfigState() *configState {
	return &configState{synced: true, throughOffset: -1, acceptedByID: make(map[string]journal.AcceptedEdit)}
}

// textDigest returns the first 8 bytes of the text's SHA-256 hash in hexadecimal.
func textDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// handleGap marks the state as incomplete: records before offset first are missing.
func (c *configState) handleGap(first int64) {
	c.synced = false
	c.deferred = nil
	c.deferredFrom = first
}

// apply applies one record. A record with a malformed body only advances throughOffset.
func (c *configState) apply(offset int64, r journal.Record) {
	switch r.Kind {
	case journal.KindConfigEdit:
		var e journal.ConfigEdit
		if json.Unmarshal(r.Body, &e) == nil && e.ID != "" {
			c.applyEdit(offset, e)
		}
	case journal.KindConfigSnapshot:
		var s journal.ConfigSnapshot
		if json.Unmarshal(r.Body, &s) == nil {
			c.applySnapshot(s)
		}
	}
	c.throughOffset = offset
}

// applyEdit accepts an edit if its ID is new and it is based on the current version.
func (c *configState) applyEdit(offset int64, e journal.ConfigEdit) {
	if !c.synced {
		c.deferEdit(deferredEdit{offset, e})
		return
	}
	if _, repeated := c.acceptedByID[e.ID]; repeated || e.BaseVersion != c.version {
		return
	}
	c.version++
	c.text = e.Text
	c.addAccepted(journal.AcceptedEdit{ID: e.ID, Version: c.version, Digest: textDigest(e.Text)})
}

// deferEdit keeps an edit until a snapshot arrives. It drops the oldest one if there are
// too many.
func (c *configState) deferEdit(edit deferredEdit) {
	if len(c.deferred) == maxDeferredEdits {
		c.deferredFrom = c.deferred[0].offset + 1
		c.deferred = c.deferred[1:]
	}
	c.deferred = append(c.deferred, edit)
}

// addAccepted remembers an accepted edit and forgets the oldest one if there are too many.
func (c *configState) addAccepted(e journal.AcceptedEdit) {
	if len(c.acceptedEdits) == maxAcceptedEdits {
		delete(c.acceptedByID, c.acceptedEdits[0].ID)
		c.acceptedEdits = append([]journal.AcceptedEdit(nil), c.acceptedEdits[1:]...)
	}
	c.acceptedEdits = append(c.acceptedEdits, e)
	c.acceptedByID[e.ID] = e
}

// applySnapshot replaces an incomplete state with a snapshot and applies the deferred edits
// after the snapshot's through offset. A complete state ignores snapshots, and a snapshot
// from before the gap cannot close it.
func (c *configState) applySnapshot(s journal.ConfigSnapshot) {
	if c.synced || s.ThroughOffset < c.deferredFrom-1 {
		return
	}
	c.synced = true
	c.version, c.text = s.Version, s.Text
	c.acceptedEdits = nil
	c.acceptedByID = make(map[string]journal.AcceptedEdit)
	for _, e := range s.Edits {
		c.addAccepted(e)
	}
	c.throughOffset = max(c.throughOffset, s.ThroughOffset)
	deferred := c.deferred
	c.deferred = nil
	for _, d := range deferred {
		if d.offset > s.ThroughOffset {
			c.applyEdit(d.offset, d.edit)
		}
	}
}

func (c *configState) snapshot() journal.ConfigSnapshot {
	return journal.ConfigSnapshot{
		Version: c.version, Text: c.text, ThroughOffset: c.throughOffset,
		Edits: append([]journal.AcceptedEdit(nil), c.acceptedEdits...),
	}
}
