package config

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/jsontext"
)

// MaxBytes is the maximum size of a configuration file. Encoded as base64, together with
// the accepted edits, the file must fit into one append of 256 KB to the log service.
const MaxBytes = 128 << 10

// Parse parses and checks the configuration in data. The findings refer to file, which is
// not read. If there are findings, the returned configuration holds only the values without
// a finding; it is nil if data could not be parsed or decoded.
func Parse(file string, data []byte) (*Config, finding.List) {
	if len(data) > MaxBytes {
		message := fmt.Sprintf("the text has %d bytes; the maximum is %d", len(data), MaxBytes)
		return nil, finding.List{{File: file, Line: 1, Column: 1, Message: message}}
	}
	doc := jsontext.Check(file, data, Schema)
	if !doc.Readable() {
		doc.Findings.Sort()
		return nil, doc.Findings
	}
	cfg := &Config{}
	if err := doc.Decode(cfg); err != nil {
		doc.AddFinding("", "the configuration cannot be decoded: %v", err)
		return nil, doc.Findings
	}
	c := &checker{doc: doc, cfg: cfg}
	for _, r := range rules {
		r.check(c)
	}
	doc.Findings.Sort()
	return cfg, doc.Findings
}
