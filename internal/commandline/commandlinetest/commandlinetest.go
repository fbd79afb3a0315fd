// Package commandlinetest contains the tests that all programs share: the help texts and the
// errors for invalid command lines match the approved transcripts, and every command and flag is
// documented. The test flag -approve rewrites the transcripts from the current output.
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

// Help compares the help texts of a program and of its commands with testdata/help.txt.
func Help(t *testing.T, app func() *cli.Command) {
	t.Helper()
	var out bytes.Buffer
	if err := commandline.WriteHelp(app, &out); err != nil {
		t.Fatal(err)
	}
	transcript.Compare(t, "help.txt", out.String())
}

// HelpIsComplete reports an error for every visible command and flag without a description.
func HelpIsComplete(t *testing.T, app func() *cli.Command) {
	t.Helper()
	for _, cmd := range app().Commands {
		if cmd.Hidden {
			continue
		}
		if cmd.Usage == "" || cmd.Description == "" {
			t.Errorf("command %s has no usage or description", cmd.Name)
		}
		for _, f := range cmd.Flags {
			if text, ok := f.(interface{ GetUsage() string }); !ok || text.GetUsage() == "" {
				t.Errorf("flag %s --%s has no usage text", cmd.Name, f.Names()[0])
			}
		}
	}
}

// Refused runs invalid command lines, and compares the error messages and exit codes with
// testdata/refused.txt. It reports an error for a command line that succeeds.
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
			t.Errorf("%s: succeeded, want an error", call)
		}
	}
	transcript.Compare(t, "refused.txt", out.String())
}
