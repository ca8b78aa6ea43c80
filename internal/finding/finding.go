// Package finding collects faults in texts together with their place, so that all
// of them are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault. Line and Column count from 1; 0 means unknown.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line:column: message".
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// List is a collection of findings. The zero value is empty and ready to use.
type List []Finding

// Add appends a finding.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Sort orders the findings by file, line and column.
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

// Error implements error with one finding a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
