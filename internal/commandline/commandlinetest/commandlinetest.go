// Package commandlinetest holds the checks that every program's commands share: their
// help and what is said to calls that can't be read, as approved transcripts, and that
// the help leaves nothing out. Tests run with -approve take over what is said now.
package commandlinetest

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"

	"github.com/sumactrestle/sumactrestle/internal/commandline"
)

var approve = flag.Bool("approve", false, "take over the transcripts as they are now")

// Approved holds a text against the file of that name in the test's folder testdata.
func Approved(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *approve {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("the transcript differs (-approved +now):\n%s", diff)
	}
}

// Help holds the help of a program and of its commands against testdata/help.txt.
func Help(t *testing.T, app func() *cli.Command) {
	t.Helper()
	var out bytes.Buffer
	if err := commandline.WriteHelp(app, &out); err != nil {
		t.Fatal(err)
	}
	Approved(t, "help.txt", out.String())
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
	Approved(t, "refused.txt", out.String())
}
