package jsontext

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// maxSyntaxErrors is the maximum number of syntax errors that one pass reports.
	maxSyntaxErrors = 20
	// maxBrackets is the maximum number of opening brackets and braces in a document. The
	// parser recurses at each: 1,000,000 nested ones exhaust the stack, 50,000 take 64 MB.
	maxBrackets = 10_000
)

// syntaxError is a syntax error at an offset, in bytes, in the original text.
type syntaxError struct {
	offset  int
	message string
}

// insertion is the place and length, in bytes, of text that a repair inserted. The offset
// applies to the text at the time of the repair.
type insertion struct{ offset, length int }

// parser parses JSON with comments. It repairs simple syntax errors in its copy of the text
// and continues, so that one pass also reports the errors after them.
type parser struct {
	text        []byte // repaired text
	insertions  []insertion
	nullOffsets map[int]bool // offsets in the original text of values that a repair replaced with null
	errors      []syntaxError
}

// parse returns the syntax tree and reports whether the whole text could be parsed.
func (p *parser) parse() (hujson.Value, bool) {
	if bytes.Count(p.text, []byte("["))+bytes.Count(p.text, []byte("{")) > maxBrackets {
		p.errors = append(p.errors, syntaxError{0, fmt.Sprintf("more than %d brackets", maxBrackets)})
		return hujson.Value{}, false
	}
	for {
		root, err := hujson.Parse(p.text)
		if err == nil {
			return root, true
		}
		offset, message := p.errorPosition(err)
		p.errors = append(p.errors, syntaxError{p.originalOffset(offset), message})
		if len(p.errors) == maxSyntaxErrors || !p.repair(offset, message) {
			return root, false
		}
	}
}

// errorPosition returns the offset in the repaired text and the message of an error of the
// hujson parser, which gives them as one string.
func (p *parser) errorPosition(err error) (int, string) {
	var line, column int
	message := err.Error()
	_, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column)
	if scanErr != nil {
		return 0, message
	}
	_, cause, _ := strings.Cut(strings.TrimPrefix(message, "hujson: "), ": ")
	return offsetOf(p.text, line, column), truncate(strings.Join(strings.Fields(cause), " "))
}

// truncate shortens a string that a message quotes to at most 80 bytes and an ellipsis.
func truncate(s string) string {
	const maxShownBytes = 80
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
}

// repair changes the text so that parsing can continue after the syntax error at offset. It
// reports whether it could.
func (p *parser) repair(offset int, message string) bool {
	switch {
	case strings.Contains(message, "(expecting ','"):
		return p.insertComma(offset)
	case strings.HasPrefix(message, "invalid literal"):
		p.blankLiteral(offset)
		p.insertNull(offset)
		return true
	case strings.HasSuffix(message, "at start of value"):
		return p.insertMissingValue(offset)
	default:
		return false
	}
}

// insertComma inserts a comma at offset unless a closing bracket or punctuation is there. It
// reports whether it did.
func (p *parser) insertComma(offset int) bool {
	if bytes.IndexByte([]byte("}])],:"), p.text[offset]) >= 0 {
		return false
	}
	p.insert(offset, ",")
	return true
}

// insertMissingValue inserts null at offset if a colon precedes it. It reports whether it
// did.
func (p *parser) insertMissingValue(offset int) bool {
	before := bytes.TrimRight(p.text[:offset], " \t\r\n")
	if !bytes.HasSuffix(before, []byte(":")) {
		return false
	}
	p.insertNull(offset)
	return true
}

func (p *parser) insertNull(offset int) {
	p.nullOffsets[p.originalOffset(offset)] = true
	p.insert(offset, "null")
}

// blankLiteral replaces the literal at offset with spaces.
func (p *parser) blankLiteral(offset int) {
	end := offset + 1
	if p.text[offset] == '"' {
		end = offset + stringLiteralLength(p.text[offset:])
	}
	for end < len(p.text) && !bytes.ContainsRune([]byte(" \t\r\n,:{}[]\"/"), rune(p.text[end])) {
		end++
	}
	for i := offset; i < end; i++ {
		p.text[i] = ' '
	}
}

// stringLiteralLength returns the length in bytes of the string literal at the start of b,
// including the quotes. An unterminated literal extends to the end of b.
func stringLiteralLength(b []byte) int {
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
	p.insertions = append(p.insertions, insertion{offset, len(s)})
}

// originalOffset maps an offset in the repaired text to the offset in the original text.
func (p *parser) originalOffset(offset int) int {
	for i := len(p.insertions) - 1; i >= 0; i-- {
		ins := p.insertions[i]
		if offset >= ins.offset+ins.length {
			offset -= ins.length
		} else if offset > ins.offset {
			offset = ins.offset
		}
	}
	return offset
}

// offsetOf returns the offset of a position, whose line and column count from 1.
func offsetOf(text []byte, line, column int) int {
	lineStart := 0
	for ; line > 1; line-- {
		lineStart += bytes.IndexByte(text[lineStart:], '\n') + 1
	}
	return min(lineStart+column-1, len(text))
}

// lineColumn returns the line and column of an offset. Both count from 1, columns in bytes.
func lineColumn(text []byte, offset int) (line, column int) {
	line = 1 + bytes.Count(text[:offset], []byte("\n"))
	column = offset - bytes.LastIndexByte(text[:offset], '\n')
	return line, column
}
