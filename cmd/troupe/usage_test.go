// The help of every command, and what is said to calls that can't be read, as
// approved transcripts. Run with -approve to take over what is said now.
package main

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

	"github.com/sumactrestle/sumactrestle/internal/commandline"
)

var approve = flag.Bool("approve", false, "take over the transcripts as they are now")

func approved(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *approve {
		os.MkdirAll("testdata", 0o755)
		os.WriteFile(path, []byte(got), 0o644)
	}
	want, _ := os.ReadFile(path)
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("the transcript differs (-approved +now):\n%s", diff)
	}
}

func TestTranscriptHelp(t *testing.T) {
	var out bytes.Buffer
	if err := commandline.WriteHelp(app, &out); err != nil {
		t.Fatal(err)
	}
	approved(t, "help.txt", out.String())
}

func TestHelpIsComplete(t *testing.T) {
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

func TestTranscriptRefused(t *testing.T) {
	var out strings.Builder
	for _, call := range []string{
		"ru",
		"help ru",
		"--foo",
		"smoke extra",
		"up --shape round",
		"run extra",
		"run --foo",
		"run --seconds x",
		"run --seconds 0",
		"run --factor 11",
		"run --work 2m",
		"run --seeds 5:1",
		"run --seeds 1:2 --history h",
		"run --faults rain",
		"run --shape round",
		"report",
		"report none.json",
		"report testdata/help.txt",
		"report testdata/small.json",
	} {
		root := app()
		root.Writer, root.ErrWriter = io.Discard, io.Discard
		fmt.Fprintf(&out, "$ troupe %s\n", call)
		if err := root.Run(context.Background(), append([]string{"troupe"}, strings.Fields(call)...)); err != nil {
			fmt.Fprintf(&out, "%s\nexit %d\n\n", commandline.Describe(err), commandline.ExitCode(err))
		} else {
			t.Errorf("%s was done", call)
		}
	}
	approved(t, "refused.txt", out.String())
}
