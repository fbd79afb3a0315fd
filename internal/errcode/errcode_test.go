package errcode

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestError_IsFoundByItsCode(t *testing.T) {
	uncoded := errors.New("disk on fire")
	tests := []struct {
		name string
		err  error
		code Code
		want bool
	}{
		{"its own code", New(NoLeader, "shard %d", 7), NoLeader, true},
		{"its code below another error", fmt.Errorf("forward: %w", New(NoLeader, "")), NoLeader, true},
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
		t.Errorf("an error without a code is taken for %v", got)
	}
}

func TestError_KeepsNoteAndPaths(t *testing.T) {
	err := NewPaths(InvalidChange, []string{"put.routes[0].path", "base"})
	var found *Error
	if !errors.As(err, &found) {
		t.Fatalf("%T holds no *Error", err)
	}
	if diff := cmp.Diff([]string{"put.routes[0].path", "base"}, found.Paths); diff != "" {
		t.Error(diff)
	}
	want := InvalidChange.Error() + ": put.routes[0].path; base"
	if found.Error() != want {
		t.Errorf("%q, want %q", found.Error(), want)
	}
}
