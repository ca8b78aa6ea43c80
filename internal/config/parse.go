package config

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/jsontext"
)

// MaxTextBytes bounds the text: as base64 with the accepted edits it must fit into one
// append of 256 KB.
const MaxTextBytes = 128 << 10

// Parse reads and checks the operators' text. File is used in findings only. When
// there are findings the text holds only the values without one, or is nil when the
// text could not be read at all.
func Parse(file string, data []byte) (*Text, finding.List) {
	if len(data) > MaxTextBytes {
		message := fmt.Sprintf("the text has %d bytes; allowed are %d", len(data), MaxTextBytes)
		return nil, finding.List{{File: file, Line: 1, Column: 1, Message: message}}
	}
	doc := jsontext.Check(file, data, Schema)
	if !doc.Readable() {
		doc.Findings.Sort()
		return nil, doc.Findings
	}
	text := &Text{}
	if err := doc.Decode(text); err != nil {
		doc.Add("", "the text cannot be read: %v", err)
		return nil, doc.Findings
	}
	c := &checker{doc: doc, text: text}
	for _, r := range rules {
		r.check(c)
	}
	doc.Findings.Sort()
	return text, doc.Findings
}
