package errcode

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestError_MatchesOnlyItsCode(t *testing.T) {
	uncoded := errors.New("disk on fire")
	tests := []struct {
		name string
		err  error
		code Code
		want bool
	}{
		{"its own code", New(NoLeader, "shard %d", 7), NoLeader, true},
		{"its code in a wrapped error", fmt.Errorf("forward: %w", New(NoLeader, "")), NoLeader, true},
		{"another code", New(NoLeader, ""), NotLeader, false},
		{"an error without a code", uncoded, NoLeader, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := errors.Is(test.err, test.code); got != test.want {
				t.Errorf("errors.Is: %v", got)
			}
		})
	}
	if got := From(uncoded).Code; got != Internal {
		t.Errorf("an error without a code has the code %v, want Internal", got)
	}
}

func TestError_KeepsNoteAndPaths(t *testing.T) {
	err := NewPaths(InvalidChange, []string{"put.routes[0].path", "base"})
	var coded *Error
	if !errors.As(err, &coded) {
		t.Fatalf("%T wraps no *Error", err)
	}
	if diff := cmp.Diff([]string{"put.routes[0].path", "base"}, coded.Paths); diff != "" {
		t.Error(diff)
	}
	want := InvalidChange.Error() + ": put.routes[0].path; base"
	if coded.Error() != want {
		t.Errorf("%q, want %q", coded.Error(), want)
	}
}
