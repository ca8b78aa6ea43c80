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

// maxLineWidth is the maximum width of text output, in columns.
const maxLineWidth = 80

// print writes value as JSON, or calls writeText for text output.
func (e *env) print(value any, writeText func(io.Writer)) error {
	if e.Output != "json" {
		writeText(e.stdout)
		return nil
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.stdout, string(data))
	return err
}

// writeLine formats a line and writes it, wrapped to maxLineWidth. Leading spaces indent all
// of its output lines.
func writeLine(w io.Writer, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	indent := text[:len(text)-len(strings.TrimLeft(text, " "))]
	for _, l := range wrapLine(text, indent, indent+"  ") {
		_, _ = fmt.Fprintln(w, l)
	}
}

// writeTable writes rows with aligned columns.
func writeTable(w io.Writer, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// wrapLine breaks s at spaces into lines of at most maxLineWidth bytes where words allow
// it. The first line starts with firstIndent and the others with nextIndent.
func wrapLine(s, firstIndent, nextIndent string) []string {
	var lines []string
	current := ""
	for _, word := range strings.Fields(s) {
		switch {
		case current == "":
			current = firstIndent + word
		case len(current)+1+len(word) > maxLineWidth:
			lines = append(lines, current)
			current = nextIndent + word
		default:
			current += " " + word
		}
	}
	return append(lines, current)
}

// formatUnixMS formats a Unix time in milliseconds as date and time in UTC.
func formatUnixMS(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05")
}

// truncate shortens s to width characters. A shortened string ends in "~".
func truncate(s string, width int) string {
	runes := []rune(s)
	if len(runes) <= width {
		return s
	}
	return string(runes[:width-1]) + "~"
}

// readInput reads a file, or standard input if name is "-".
func (e *env) readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(e.stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, badInputError("%v", err)
	}
	return data, nil
}
