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

// maxLogLine bounds a line of a log; longer ones end the reading of a file.
const maxLogLine = 1 << 20

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
	var lines, context []logLine
	for _, file := range c.Args.Files {
		data, err := c.env.readInput(file)
		if err != nil {
			return err
		}
		of, around, err := readLog(file, data, c.Args.ID)
		if err != nil {
			return err
		}
		lines, context = append(lines, of...), append(context, around...)
	}
	if len(lines) == 0 {
		return badInput("no line names %s", c.Args.ID)
	}
	byTime := func(a, b logLine) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(lines, byTime)
	first, last := lines[0].Time, lines[len(lines)-1].Time
	for _, l := range context {
		if !l.Time.Before(first) && !l.Time.After(last) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return c.env.print(lines, func(w io.Writer) { writeTrace(w, lines) })
}

// contextMessages are lines that explain many jobs' waits, whoever they name.
var contextMessages = []string{
	"scheduler: took over", "replica: store lost", "replica: store regained", "host: readiness changed",
}

// readLog returns the lines that name the id, and those that may explain its waits. What
// stands before a line's JSON is passed over.
func readLog(file string, data []byte, id string) (of, around []logLine, err error) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLogLine)
	for n := 1; scanner.Scan(); n++ {
		raw := scanner.Bytes()
		named := bytes.Contains(raw, []byte(id))
		begin := bytes.IndexByte(raw, '{')
		if begin < 0 || (!named && !containsAny(raw, contextMessages)) {
			continue
		}
		l, err := parseLogLine(raw[begin:])
		if err != nil {
			return nil, nil, badInput("%s:%d: %v", file, n, err)
		}
		l.File = filepath.Base(file)
		if named {
			of = append(of, l)
		} else {
			around = append(around, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, badInput("%s: %v", file, err)
	}
	return of, around, nil
}

func containsAny(line []byte, texts []string) bool {
	return slices.ContainsFunc(texts, func(t string) bool { return bytes.Contains(line, []byte(t)) })
}

func parseLogLine(data []byte) (logLine, error) {
	l := logLine{Fields: map[string]any{}}
	if err := json.Unmarshal(data, &l.Fields); err != nil {
		return l, err
	}
	l.Message, _ = l.Fields["msg"].(string)
	stamp, _ := l.Fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return l, err
	}
	l.Time = at
	for _, name := range []string{"msg", "ts", "level"} {
		delete(l.Fields, name)
	}
	return l, nil
}

// writeTrace writes one line for each, with the time since the first.
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
