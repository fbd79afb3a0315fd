// Package errcode holds the project's errors: a numbered code from schema/codes.yaml, a note
// on the one case, and the paths of what is wrong. They travel between processes by number.
//
// A Code is itself an error, so that errors.Is(err, errcode.NoLeader) holds for every error
// that bears the code; errors.As finds the *Error with its note and paths.
package errcode

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Code is one line of the table in docs/codes.md.
type Code struct {
	// Number identifies the code for good.
	Number int
	// Name is the code's name in logs and metrics.
	Name string
	// Status is the HTTP status that it is answered with.
	Status int
	// Outcome is what is known of the request: "ran", "not run" or "unknown"; empty where no
	// request to a target is concerned.
	Outcome string
	// Text says what happened.
	Text string
}

// Error returns the code's number and text.
func (c Code) Error() string { return fmt.Sprintf("%d %s", c.Number, c.Text) }

// Error is a code with what is to be said about one case.
type Error struct {
	Code  Code
	Note  string
	Paths []string // of the faulty fields, where there are any
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

// Is reports whether the target is the error's code, for errors.Is.
func (e *Error) Is(target error) bool {
	code, ok := target.(Code)
	return ok && code.Number == e.Code.Number
}

// New returns an error with the code and a formatted note. It is wrapped by trace, so that it
// knows where it came from.
func New(code Code, format string, args ...any) error {
	return trace.Wrap(&Error{Code: code, Note: fmt.Sprintf(format, args...)})
}

// NewPaths returns an error with the code that names the paths of faulty fields.
func NewPaths(code Code, paths []string) error {
	return trace.Wrap(&Error{Code: code, Paths: paths})
}

// From returns the *Error within an error. Any other error, nil excepted, is Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Note: err.Error()}
}
