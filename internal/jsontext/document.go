package jsontext

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/tailscale/hujson"
)

// Document is a checked JSON document. Its values are identified by paths, for example
// "organisations[0].guarantees[1].shape"; the path of the root object is empty.
type Document struct {
	File     string
	Findings finding.List

	text           []byte
	root           hujson.Value
	offsets        map[string]int  // offsets of the values, by path
	findingPaths   map[string]bool // paths of values that have or contain a finding
	nullOffsets    map[int]bool    // see parser
	originalOffset func(int) int   // see parser
	validValue     any             // valid part of the document, for Decode
	readable       bool
}

// Check parses data and checks it against the object that root describes. The findings
// refer to file, which is not read.
func Check(file string, data []byte, root *Field) *Document {
	p := &parser{text: append([]byte(nil), data...), nullOffsets: map[int]bool{}}
	value, complete := p.parse()
	d := &Document{
		File:           file,
		text:           data,
		root:           value,
		offsets:        map[string]int{},
		findingPaths:   map[string]bool{},
		nullOffsets:    p.nullOffsets,
		originalOffset: p.originalOffset,
	}
	for _, f := range p.errors {
		d.addFindingAt(f.offset, "%s", f.message)
	}
	if !complete {
		return d
	}
	d.validValue, d.readable = d.validateValue("", root, &d.root)
	return d
}

// Readable reports whether the document could be parsed and is an object, with or without
// findings.
func (d *Document) Readable() bool { return d.readable }

// Decode stores the valid values of the document in target, as json.Unmarshal does. Invalid
// values are omitted, except that list elements become null and strings of the wrong format
// are kept.
func (d *Document) Decode(target any) error {
	data, err := json.Marshal(d.validValue)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, target)
}

// AddFinding adds a finding at the position of the value at path or, if there is none, of
// the innermost existing value that encloses it.
func (d *Document) AddFinding(path, format string, args ...any) {
	d.markFinding(path)
	d.addFindingAt(d.nearestOffset(path), format, args...)
}

// HasFinding reports whether the value at path, or a value inside it, has a finding.
func (d *Document) HasFinding(path string) bool { return d.findingPaths[path] }

// Has reports whether the document contains a value at path.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// nearestOffset returns the offset of the value at path or, if there is none, of the
// innermost existing value that encloses it.
func (d *Document) nearestOffset(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = parentPath(path)
	}
	return d.offsets[""]
}

// markFinding records that the value at path and every value that encloses it have a
// finding.
func (d *Document) markFinding(path string) {
	for ; path != ""; path = parentPath(path) {
		d.findingPaths[path] = true
	}
	d.findingPaths[""] = true
}

// parentPath returns the path of the value that directly encloses the one at path.
func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// addFindingAt adds a finding at an offset, in bytes, in the original text.
func (d *Document) addFindingAt(offset int, format string, args ...any) {
	line, column := lineColumn(d.text, offset)
	d.Findings.Add(finding.Finding{
		File:    d.File,
		Line:    line,
		Column:  column,
		Message: fmt.Sprintf(format, args...),
	})
}
