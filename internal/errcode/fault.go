// Package fault is the one kind of problem this project answers with: a
// numbered code from the schema, a note, and the paths of what is wrong.
// Problems travel between processes by number and are wrapped by trace.
package errcode

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Code is one line of the table in docs/codes.md.
type Code struct {
	Number  int
	Name    string
	Status  int
	Outcome string
	Text    string
}

// Error is a code with what is to be said about this one case.
type Error struct {
	Code  Code
	Note  string
	Paths []string
}

func (p *Error) Error() string {
	text := fmt.Sprintf("%d %s", p.Code.Number, p.Code.Text)
	if p.Note != "" {
		text += ": " + p.Note
	}
	if len(p.Paths) > 0 {
		text += ": " + strings.Join(p.Paths, "; ")
	}
	return text
}

// New makes a problem, wrapped so that it knows where it came from.
func New(code Code, format string, args ...any) error {
	return trace.Wrap(&Error{Code: code, Note: fmt.Sprintf(format, args...)})
}

// NewPaths makes a problem that names paths.
func NewPaths(code Code, paths []string) error {
	return trace.Wrap(&Error{Code: code, Paths: paths})
}

// From finds the problem in an error; anything else is Internal.
func From(err error) *Error {
	var p *Error
	if errors.As(err, &p) {
		return p
	}
	return &Error{Code: Internal, Note: err.Error()}
}

// Is tells whether the error carries the code.
func Is(err error, code Code) bool {
	return err != nil && From(err).Code.Number == code.Number
}
