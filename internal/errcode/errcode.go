// Package errcode defines the project's errors: a numbered code from schema/codes.yaml, a note
// with details, and the paths of faulty fields. Messages between processes identify a code by
// its number.
//
// A Code is itself an error, so that errors.Is(err, errcode.NoLeader) is true for every error
// with that code; errors.As finds the *Error with its note and paths.
package errcode

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Code is an entry of the table in docs/codes.md, generated from schema/codes.yaml.
type Code struct {
	// Number identifies the code and is never reused for another one.
	Number int
	// Name is the code's name in logs and metrics.
	Name string
	// Status is the HTTP status of a response with this code.
	Status int
	// Outcome is whether the request was executed: "ran", "not run" or "unknown". It is empty if
	// the code does not concern the execution of a request.
	Outcome string
	// Text describes the error.
	Text string
}

// Error returns the code's number and text.
func (c Code) Error() string { return fmt.Sprintf("%d %s", c.Number, c.Text) }

// Error is a code with the details of one case.
type Error struct {
	Code  Code
	Note  string
	Paths []string // of the faulty fields, if any
}

// Error returns the code, the note and the paths in one line.
func (e *Error) Error() string {
	text := e.Code.Error()
	if e.Note != "" {
		text += ": " + e.Note
	}
	if len(e.Paths) > 0 {
		text += ": " + strings.Join(e.Paths, "; ")
	}
	return text
}

// Is reports whether target is the error's code. It implements the method used by errors.Is.
func (e *Error) Is(target error) bool {
	code, ok := target.(Code)
	return ok && code.Number == e.Code.Number
}

// New returns an error with the code and a formatted note. It is wrapped by trace, which records
// where it was created.
func New(code Code, format string, args ...any) error {
	return trace.Wrap(&Error{Code: code, Note: fmt.Sprintf(format, args...)})
}

// NewPaths returns an error with the code and the paths of faulty fields.
func NewPaths(code Code, paths []string) error {
	return trace.Wrap(&Error{Code: code, Paths: paths})
}

// From returns the *Error in err's chain. Any other error becomes an *Error with the code
// Internal. err must not be nil.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Note: err.Error()}
}
