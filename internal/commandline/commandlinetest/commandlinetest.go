// Package commandlinetest holds the checks that every program's commands share: their
// help and what is said to calls that can't be read, as approved transcripts, and that
// the help leaves nothing out. Tests run with -approve take over what is said now.
package commandlinetest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/transcript"

	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/commandline"
)

// Help holds the help of a program and of its commands against testdata/help.txt.
func Help(t *testing.T, app func() *cli.Command) {
	t.Helper()
	var out bytes.Buffer
	if err := commandline.WriteHelp(app, &out); err != nil {
		t.Fatal(err)
	}
	transcript.Compare(t, "help.txt", out.String())
}

// HelpIsComplete tells of every command and flag that is shown without a description.
func HelpIsComplete(t *testing.T, app func() *cli.Command) {
	t.Helper()
	for _, cmd := range app().Commands {
		if cmd.Hidden {
			continue
		}
		if cmd.Usage == "" || cmd.Description == "" {
			t.Errorf("%s says too little of itself", cmd.Name)
		}
		for _, f := range cmd.Flags {
			if text, ok := f.(interface{ GetUsage() string }); !ok || text.GetUsage() == "" {
				t.Errorf("%s --%s says nothing of itself", cmd.Name, f.Names()[0])
			}
		}
	}
}

// Refused makes calls that can't be read, each a line of words, and holds what is said
// and the exit codes against testdata/refused.txt. A call that is done is a failure.
func Refused(t *testing.T, app func() *cli.Command, calls []string) {
	t.Helper()
	var out strings.Builder
	for _, call := range calls {
		root := app()
		root.Writer, root.ErrWriter = io.Discard, io.Discard
		fmt.Fprintf(&out, "$ %s %s\n", root.Name, call)
		if err := root.Run(context.Background(), append([]string{root.Name}, strings.Fields(call)...)); err != nil {
			fmt.Fprintf(&out, "%s\nexit %d\n\n", commandline.Describe(err), commandline.ExitCode(err))
		} else {
			t.Errorf("%s was done", call)
		}
	}
	transcript.Compare(t, "refused.txt", out.String())
}
