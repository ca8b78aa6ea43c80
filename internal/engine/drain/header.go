package drain

import "errors"

// maxHeaderLines bounds the lines of a request's header, which take up to a hundred bytes each
// once they are parsed, however short they are. Callers and load balancers send some ten.
const maxHeaderLines = 128

var errTooManyLines = errors.New("the header has too many lines")

// headerLines counts the lines of a header as it is received. It answers the load of many
// headers that consist of very short fields.
type headerLines struct {
	lines  int
	inLine bool
	ended  bool // the header has ended; what follows is the body or a further request
}

// add counts the lines in received data and reports whether there are not too many.
func (h *headerLines) add(data []byte) bool {
	for _, b := range data {
		switch {
		case h.ended:
			return h.lines <= maxHeaderLines
		case b == '\n' && h.inLine:
			h.lines, h.inLine = h.lines+1, false
		case b == '\n':
			h.ended = h.lines > 0 // empty lines before a request are ignored
		case b != '\r':
			h.inLine = true
		}
	}
	return h.lines <= maxHeaderLines
}
