// Package recovery turns panics into errors, so that an unexpected record or a programming
// error in one part of the engine does not end the process, which also serves callers.
package recovery

import (
	"runtime/debug"

	"github.com/gravitational/trace"
)

// PanicError is the error of a function that panicked.
type PanicError struct {
	Value any
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return "panic: " + trace.Errorf("%v", e.Value).Error() }

// Call calls f and returns its error, or a *PanicError if f panicked.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = trace.Wrap(&PanicError{Value: v, Stack: string(debug.Stack())})
		}
	}()
	return f()
}
