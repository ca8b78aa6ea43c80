package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// maxLogLineBytes is the maximum length of a log line. A longer line is an error.
const maxLogLineBytes = 1 << 20

type traceCommand struct {
	env  *env
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// logLine is one line of a daemon's log.
type logLine struct {
	Time    time.Time      `json:"time"`
	File    string         `json:"file"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	var lines, contextLines []logLine
	for _, file := range c.Args.Files {
		data, err := c.env.readInput(file)
		if err != nil {
			return err
		}
		matching, contextOfFile, err := readLog(file, data, c.Args.ID)
		if err != nil {
			return err
		}
		lines, contextLines = append(lines, matching...), append(contextLines, contextOfFile...)
	}
	if len(lines) == 0 {
		return badInputError("no line names %s", c.Args.ID)
	}
	byTime := func(a, b logLine) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(lines, byTime)
	first, last := lines[0].Time, lines[len(lines)-1].Time
	for _, l := range contextLines {
		if !l.Time.Before(first) && !l.Time.After(last) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return c.env.print(lines, func(w io.Writer) { writeTrace(w, lines) })
}

// contextMessages holds the messages of events that may explain the waits of any job.
var contextMessages = []string{
	"scheduler: took over", "replica: store lost", "replica: store regained", "host: readiness changed",
}

// readLog returns the log lines in data that contain the id, and those of contextMessages
// that do not. Text before the JSON of a line is ignored, as are lines without JSON.
func readLog(file string, data []byte, id string) (matching, contextLines []logLine, err error) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLogLineBytes)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		raw := scanner.Bytes()
		matches := bytes.Contains(raw, []byte(id))
		jsonStart := bytes.IndexByte(raw, '{')
		if jsonStart < 0 || (!matches && !containsAny(raw, contextMessages)) {
			continue
		}
		l, err := parseLogLine(raw[jsonStart:])
		if err != nil {
			return nil, nil, badInputError("%s:%d: %v", file, lineNumber, err)
		}
		l.File = filepath.Base(file)
		if matches {
			matching = append(matching, l)
		} else {
			contextLines = append(contextLines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, badInputError("%s: %v", file, err)
	}
	return matching, contextLines, nil
}

func containsAny(line []byte, texts []string) bool {
	return slices.ContainsFunc(texts, func(t string) bool { return bytes.Contains(line, []byte(t)) })
}

// parseLogLine parses the JSON of a log line. Fields holds what remains without the
// message, time and level.
func parseLogLine(data []byte) (logLine, error) {
	l := logLine{Fields: map[string]any{}}
	if err := json.Unmarshal(data, &l.Fields); err != nil {
		return l, err
	}
	l.Message, _ = l.Fields["msg"].(string)
	timestamp, _ := l.Fields["ts"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return l, err
	}
	l.Time = parsed
	for _, name := range []string{"msg", "ts", "level"} {
		delete(l.Fields, name)
	}
	return l, nil
}

// writeTrace writes one line of output per log line, starting with the time since the
// first one in seconds. There must be at least one line.
func writeTrace(w io.Writer, lines []logLine) {
	first := lines[0].Time
	for _, l := range lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		var fields []string
		for _, name := range names {
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
		_, _ = fmt.Fprintf(w, "%+9.3f %s %s %s\n", l.Time.Sub(first).Seconds(), l.File, l.Message, strings.Join(fields, " "))
	}
}
