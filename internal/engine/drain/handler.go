package drain

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// maxDiscardedBytes bounds the rest of a request body that is discarded to keep a
// connection usable.
const maxDiscardedBytes = 256 << 10

// serveHTTP calls the handler. The response of a draining server asks the client to close
// the connection, unless further requests have already arrived on it.
func (s *Server) serveHTTP(rw http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		s.handler.ServeHTTP(rw, r)
		return
	}
	body := &trackedBody{ReadCloser: r.Body, conn: c, ended: r.ContentLength == 0}
	c.beginRequest(!body.ended)
	if !body.ended {
		withBody := *r
		withBody.Body = body
		r = &withBody
	}
	w := &responseWriter{ResponseWriter: rw, server: s}
	s.handler.ServeHTTP(w, r)
	if !w.recorded {
		return
	}
	if !body.discard(r) || !s.writeRecorded(c, w, r) {
		w.replay()
	}
}

// writeRecorded takes over the connection and writes the recorded response. It returns
// false if the connection cannot be taken over.
func (s *Server) writeRecorded(c *conn, w *responseWriter, r *http.Request) bool {
	_, buffered, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return false
	}
	last := r.Close || !r.ProtoAtLeast(1, 1) || !hasFurtherRequest(c, buffered.Reader)
	if err := w.writeTo(c, r, last); err != nil || r.Close || !r.ProtoAtLeast(1, 1) {
		_ = c.Close()
		return true
	}
	if last {
		c.awaitClose()
	}
	if err := s.http.Serve(&singleListener{conn: c}); !errors.Is(err, net.ErrClosed) {
		_ = c.Close()
	}
	return true
}

// hasFurtherRequest reports whether data of a further request has arrived.
func hasFurtherRequest(c *conn, r *bufio.Reader) bool {
	buffered, _ := r.Peek(r.Buffered()) // cannot fail: the data is buffered
	return c.readAhead(buffered)
}

// responseWriter records the response if the server is draining when it is written, and
// passes it on otherwise.
type responseWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
	recorded    bool
	status      int
	body        bytes.Buffer
}

// Unwrap returns the original writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	w.status, w.recorded = status, w.server.draining()
	if !w.recorded {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if w.recorded {
		return w.body.Write(p)
	}
	return w.ResponseWriter.Write(p)
}

// replay passes the recorded response on, as the last one of the connection.
func (w *responseWriter) replay() {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(w.status)
	_, _ = w.ResponseWriter.Write(w.body.Bytes()) // an error means that the client has closed the connection
}

// writeTo writes the recorded response in one piece.
func (w *responseWriter) writeTo(out io.Writer, r *http.Request, last bool) error {
	header := w.Header()
	header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	response := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Request: r, Header: header,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Close: last,
	}
	var data bytes.Buffer
	if err := response.Write(&data); err != nil {
		return err
	}
	_, err := out.Write(data.Bytes())
	return err
}

// trackedBody is a request body that knows whether it was read up to its end.
type trackedBody struct {
	io.ReadCloser
	conn  *conn
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.ended && errors.Is(err, io.EOF) {
		b.ended = true
		b.conn.endBody()
	}
	return n, err
}

// discard reads the rest of the body and reports whether its end was reached. It does not
// ask a client for a body that it has not sent.
func (b *trackedBody) discard(r *http.Request) bool {
	if !b.ended && r.Header.Get("Expect") == "" {
		_, _ = io.CopyN(io.Discard, b, maxDiscardedBytes) // the end shows in b.ended
	}
	return b.ended
}
