package guard

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors of ReadBody. In each case the request has not been executed.
var (
	ErrTooLarge   = errors.New("the body is too large")
	ErrIncomplete = errors.New("the body is not complete")
	ErrOverloaded = errors.New("the host has no room left for the body")
)

const (
	// initialBufferBytes is the first size of a body's buffer; most bodies fit.
	initialBufferBytes = 2 << 10
	// receivingFactor is the memory of a body that is being received, in multiples of its
	// buffer: the buffer, and the smaller one that it replaced.
	receivingFactor = 2
	// executingFactor is the memory of a request whose body is whole, in multiples of the body:
	// the body, the decoded job, its record, and the call to the store in base64.
	executingFactor = 6
	// stallTimeout is the time within which a body must make progress: more than the
	// retransmissions of a packet that is lost three times in a row.
	stallTimeout = 3 * time.Second
	// minBodyTimeout and maxBodyTimeout bound the time for a whole body; in between the caller's
	// own deadline counts. Callers without one wait for 3 s, which is time for 256 KiB at
	// a fifteenth of the slowest link.
	minBodyTimeout = 3 * time.Second
	maxBodyTimeout = 15 * time.Second
	// bodyTimeoutMargin is added to the caller's deadline, for clocks and transfer.
	bodyTimeoutMargin = time.Second
)

// past is a deadline that makes a blocked read return.
var past = time.Unix(1, 0)

// BodyLimits are the limits of one body.
type BodyLimits struct {
	Organisation string        // that pays for the memory
	MaxBytes     int64         // the largest body
	Timeout      time.Duration // how long the caller waits for the response
}

// Body is a request body in memory.
type Body struct {
	Data        []byte
	reservation *reservation
}

// Grow reserves further memory for the request. It fails if there is none.
func (b *Body) Grow(bytes int64) error {
	if err := b.reservation.hold(b.reservation.held + bytes); err != nil {
		return ErrOverloaded
	}
	return nil
}

// Release returns the memory of the body, which must not be used any more.
func (b *Body) Release() { b.reservation.release() }

// bodyReader receives one body.
type bodyReader struct {
	io.Reader
	controller  *http.ResponseController
	reservation *reservation
	data        []byte
	maxBytes    int64
	deadline    time.Time // for the whole body
}

// ReadBody receives the body of a request. Memory is reserved as bytes arrive. A body that
// makes no progress ends with ErrIncomplete, also if it is given up for others. After an error
// the response must be the last one of the connection, see RefuseUnread.
func (g *Guard) ReadBody(rw http.ResponseWriter, r *http.Request, l BodyLimits) (*Body, error) {
	if r.ContentLength > l.MaxBytes {
		g.Refuse(TooLarge)
		return nil, ErrTooLarge
	}
	if g.memory.isHigh() {
		g.Refuse(Memory)
		return nil, ErrOverloaded
	}
	controller := http.NewResponseController(rw)
	abort := func() { _ = controller.SetReadDeadline(past) } // an error means that the connection is closed
	b := &bodyReader{
		Reader: http.MaxBytesReader(rw, r.Body, l.MaxBytes), controller: controller, maxBytes: l.MaxBytes,
		reservation: g.budget.open(l.Organisation, abort),
		deadline:    time.Now().Add(min(max(l.Timeout, minBodyTimeout), maxBodyTimeout) + bodyTimeoutMargin),
	}
	if err := b.readAll(r.ContentLength); err != nil {
		b.reservation.release()
		g.refuseBody(err)
		return nil, err
	}
	return &Body{Data: b.data, reservation: b.reservation}, nil
}

func (g *Guard) refuseBody(err error) {
	switch {
	case errors.Is(err, ErrTooLarge):
		g.Refuse(TooLarge)
	case errors.Is(err, ErrOverloaded):
		g.Refuse(Memory)
	default:
		g.Refuse(Stalled)
	}
}

// readAll reads up to the end of the body. declared is its length, or -1 if it is not known.
func (b *bodyReader) readAll(declared int64) error {
	if declared < 0 {
		declared = b.maxBytes
	}
	for {
		if len(b.data) == cap(b.data) {
			if err := b.enlarge(declared + 1); err != nil {
				return err
			}
		}
		b.extendDeadline()
		if !b.reservation.note(int64(len(b.data))) {
			return ErrIncomplete
		}
		n, err := b.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return b.finish()
		}
		if err != nil {
			return bodyError(err)
		}
	}
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return ErrTooLarge
	}
	return ErrIncomplete
}

// enlarge doubles the buffer up to the given size, which leaves room to notice the end.
func (b *bodyReader) enlarge(most int64) error {
	size := min(max(2*int64(cap(b.data)), initialBufferBytes), most)
	if b.reservation.hold(receivingFactor*size) != nil {
		return ErrOverloaded
	}
	larger := make([]byte, len(b.data), size)
	copy(larger, b.data)
	b.data = larger
	return nil
}

// extendDeadline gives the body time for its next progress.
func (b *bodyReader) extendDeadline() {
	deadline := b.reservation.progress.Add(stallTimeout)
	if b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.controller.SetReadDeadline(deadline) // an error means that the connection is closed
}

// finish changes the reservation to what the execution of the request takes.
func (b *bodyReader) finish() error {
	if !b.reservation.finish() {
		return ErrIncomplete
	}
	_ = b.controller.SetReadDeadline(time.Time{}) // an error means that the connection is closed
	if b.reservation.hold(executingFactor*int64(len(b.data))) != nil {
		return ErrOverloaded
	}
	return nil
}

// smallBodyBytes is the length of a body that has usually arrived together with its header.
const smallBodyBytes = 4 << 10

// RefuseUnread prepares the refusal of a request whose body has not been read, and reports
// whether the response closes the connection: it does unless the rest is known to be small.
// Only what has arrived is discarded then.
func RefuseUnread(rw http.ResponseWriter, r *http.Request) bool {
	if r.ContentLength >= 0 && r.ContentLength <= smallBodyBytes {
		return false
	}
	rw.Header().Set("Connection", "close")
	_ = http.NewResponseController(rw).SetReadDeadline(past) // an error means that the connection is closed
	return true
}
