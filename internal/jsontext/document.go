package jsontext

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/tailscale/hujson"
)

// Document is a checked text. Paths name its values, for example
// "organisations[0].guarantees[1].shape".
type Document struct {
	File     string
	Findings finding.List

	text    []byte
	root    hujson.Value
	offsets map[string]int
	bad     map[string]bool
	nulls   map[int]bool
	orig    func(int) int
	clean   any
	ok      bool
}

// Check parses data and checks it against the object that root describes. File is
// used in findings only.
func Check(file string, data []byte, root *Field) *Document {
	p := &parser{text: append([]byte(nil), data...), nulls: map[int]bool{}}
	value, complete := p.parse()
	d := &Document{
		File:    file,
		text:    data,
		root:    value,
		offsets: map[string]int{},
		bad:     map[string]bool{},
		nulls:   p.nulls,
		orig:    p.original,
	}
	for _, f := range p.faults {
		d.addAt(f.offset, "%s", f.message)
	}
	if !complete {
		return d
	}
	d.clean, d.ok = d.walk("", root, &d.root)
	return d
}

// Readable reports whether the text could be read as an object, with or without
// findings.
func (d *Document) Readable() bool { return d.ok }

// Decode stores the valid values of the text in target. Values with findings are
// left out.
func (d *Document) Decode(target any) error {
	data, err := json.Marshal(d.clean)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, target)
}

// Add records a finding at the value that path names, or at the nearest value
// around it that exists.
func (d *Document) Add(path, format string, args ...any) {
	d.markBad(path)
	d.addAt(d.nearest(path), format, args...)
}

// Bad reports whether the value that path names, or a value inside it, has a
// finding.
func (d *Document) Bad(path string) bool { return d.bad[path] }

// Has reports whether the text contains the value that path names.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

func (d *Document) nearest(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = parent(path)
	}
	return d.offsets[""]
}

// markBad marks a path and every path around it.
func (d *Document) markBad(path string) {
	for ; path != ""; path = parent(path) {
		d.bad[path] = true
	}
	d.bad[""] = true
}

// parent returns the path of the value around path.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *Document) addAt(offset int, format string, args ...any) {
	line, column := lineColumn(d.text, offset)
	d.Findings.Add(finding.Finding{
		File:    d.File,
		Line:    line,
		Column:  column,
		Message: fmt.Sprintf(format, args...),
	})
}
