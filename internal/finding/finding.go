// Package finding collects the problems that checks find in a file, with their positions,
// so that all of them are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem. Line and Column count from 1; 0 means that the position is
// unknown.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line:column: message", or "file: message" if Line is 0.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// List is a list of findings. The zero value is empty and ready to use.
type List []Finding

// Add appends f to the list.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Sort sorts the findings by file, line and column.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Error implements error. It returns one finding per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
