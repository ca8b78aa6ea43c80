package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// lineWidth is the width that text output keeps to.
const lineWidth = 80

// print writes value as JSON, or as text with the function given.
func (e *env) print(value any, text func(io.Writer)) error {
	if e.Output != "json" {
		text(e.stdout)
		return nil
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.stdout, string(data))
	return err
}

// line writes one line, wrapped. Spaces at its start indent all of it.
func line(w io.Writer, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	indent := text[:len(text)-len(strings.TrimLeft(text, " "))]
	for _, l := range wrap(text, indent, indent+"  ") {
		_, _ = fmt.Fprintln(w, l)
	}
}

// table writes rows with aligned columns.
func table(w io.Writer, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// wrap breaks a line at spaces so that it fits the width. The first line starts with
// first and the others with indent.
func wrap(s, first, indent string) []string {
	var lines []string
	current := ""
	for _, word := range strings.Fields(s) {
		switch {
		case current == "":
			current = first + word
		case len(current)+1+len(word) > lineWidth:
			lines = append(lines, current)
			current = indent + word
		default:
			current += " " + word
		}
	}
	return append(lines, current)
}

// unixTime returns a time in milliseconds since 1970 as UTC text.
func unixTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05")
}

// cut shortens s to width characters.
func cut(s string, width int) string {
	runes := []rune(s)
	if len(runes) <= width {
		return s
	}
	return string(runes[:width-1]) + "~"
}

// readInput reads a file, or the standard input for "-".
func (e *env) readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(e.stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, badInput("%v", err)
	}
	return data, nil
}
