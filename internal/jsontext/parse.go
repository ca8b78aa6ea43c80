package jsontext

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// maxRepairs bounds the syntax faults that one pass reports.
	maxRepairs = 20
	// maxOpeners bounds the brackets of a text, as the parser recurses at each of them:
	// 1,000,000 nested brackets exhaust the stack, 50,000 take 64 MB of it.
	maxOpeners = 10_000
)

// syntaxFault is a syntax error at an offset in the original text.
type syntaxFault struct {
	offset  int
	message string
}

// insertion is text that a repair added at an offset of the repaired text.
type insertion struct{ offset, length int }

// parser parses a text. After a syntax error that has an obvious repair it
// continues, so that one pass reports the faults behind it too.
type parser struct {
	text   []byte // repaired text
	added  []insertion
	nulls  map[int]bool // offsets in the original text of values that were replaced
	faults []syntaxFault
}

// parse returns the tree and whether it is complete.
func (p *parser) parse() (hujson.Value, bool) {
	if bytes.Count(p.text, []byte("["))+bytes.Count(p.text, []byte("{")) > maxOpeners {
		p.faults = append(p.faults, syntaxFault{0, fmt.Sprintf("more than %d brackets", maxOpeners)})
		return hujson.Value{}, false
	}
	for {
		root, err := hujson.Parse(p.text)
		if err == nil {
			return root, true
		}
		offset, message := p.locate(err)
		p.faults = append(p.faults, syntaxFault{p.original(offset), message})
		if len(p.faults) == maxRepairs || !p.repair(offset, message) {
			return root, false
		}
	}
}

// locate splits the parser's message into the offset and the cause.
func (p *parser) locate(err error) (int, string) {
	var line, column int
	message := err.Error()
	_, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column)
	if scanErr != nil {
		return 0, message
	}
	_, cause, _ := strings.Cut(strings.TrimPrefix(message, "hujson: "), ": ")
	return offsetOf(p.text, line, column), shorten(strings.Join(strings.Fields(cause), " "))
}

// shorten cuts a text that a message quotes.
func shorten(s string) string {
	const maxShown = 80
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "..."
}

// repair changes the text so that parsing can go on behind the fault at offset.
func (p *parser) repair(offset int, message string) bool {
	switch {
	case strings.Contains(message, "(expecting ','"):
		return p.insertComma(offset)
	case strings.HasPrefix(message, "invalid literal"):
		p.blankToken(offset)
		p.insertNull(offset)
		return true
	case strings.HasSuffix(message, "at start of value"):
		return p.insertMissingValue(offset)
	default:
		return false
	}
}

func (p *parser) insertComma(offset int) bool {
	if bytes.IndexByte([]byte("}])],:"), p.text[offset]) >= 0 {
		return false
	}
	p.insert(offset, ",")
	return true
}

func (p *parser) insertMissingValue(offset int) bool {
	before := bytes.TrimRight(p.text[:offset], " \t\r\n")
	if !bytes.HasSuffix(before, []byte(":")) {
		return false
	}
	p.insertNull(offset)
	return true
}

func (p *parser) insertNull(offset int) {
	p.nulls[p.original(offset)] = true
	p.insert(offset, "null")
}

// blankToken replaces the literal at offset with spaces.
func (p *parser) blankToken(offset int) {
	end := offset + 1
	if p.text[offset] == '"' {
		end = offset + stringLength(p.text[offset:])
	}
	for end < len(p.text) && !bytes.ContainsRune([]byte(" \t\r\n,:{}[]\"/"), rune(p.text[end])) {
		end++
	}
	for i := offset; i < end; i++ {
		p.text[i] = ' '
	}
}

// stringLength returns the length of the quoted text at the start of b.
func stringLength(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(b)
}

func (p *parser) insert(offset int, s string) {
	text := append([]byte(nil), p.text[:offset]...)
	text = append(text, s...)
	p.text = append(text, p.text[offset:]...)
	p.added = append(p.added, insertion{offset, len(s)})
}

// original maps an offset in the repaired text to one in the text as given.
func (p *parser) original(offset int) int {
	for i := len(p.added) - 1; i >= 0; i-- {
		a := p.added[i]
		if offset >= a.offset+a.length {
			offset -= a.length
		} else if offset > a.offset {
			offset = a.offset
		}
	}
	return offset
}

// offsetOf returns the offset of a line and column that count from 1.
func offsetOf(text []byte, line, column int) int {
	start := 0
	for ; line > 1; line-- {
		start += bytes.IndexByte(text[start:], '\n') + 1
	}
	return min(start+column-1, len(text))
}

// lineColumn returns the line and column of an offset, both counting from 1.
func lineColumn(text []byte, offset int) (line, column int) {
	line = 1 + bytes.Count(text[:offset], []byte("\n"))
	column = offset - bytes.LastIndexByte(text[:offset], '\n')
	return line, column
}
