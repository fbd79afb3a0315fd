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
	"github.com/sumactrestle/sumactrestle/platform"
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
	for _, name := range []string{"SUMAC_API", platform.Variable} {
		t.Setenv(name, "") // has it put back
		os.Unsetenv(name)
	}
	var out strings.Builder
	for _, call := range []string{
		"nod",
		"help nod",
		"--foo",
		"node --foo",
		"node extra",
		"node --set name",
		"check extra",
		"check --settings a --change b",
		"check --settings a --props b",
		"check --objects",
		"check --props none.yaml",
		"check --settings none.toml",
		"check --change none.yaml",
		"submit",
		"submit --api 127.0.0.1:1",
		"submit --api 127.0.0.1:1 a.yaml b.yaml",
		"submit --api 127.0.0.1:1 none.yaml",
		"submit --api 127.0.0.1:1 --base x a.yaml",
		"ask --api 127.0.0.1:1",
		"ask --api 127.0.0.1:1 a b",
		"epoch",
		"epoch --api=",
		"epoch --api 127.0.0.1:1 extra",
		"epoch --api 127.0.0.1:1",
		"shell --api 127.0.0.1:1 weather",
		"platform",
		"platform extra",
		"platform --log loud --settings none.toml",
		"platform --settings none.toml",
		"judge",
		"judge none.history",
	} {
		root := app()
		root.Writer, root.ErrWriter = io.Discard, io.Discard
		fmt.Fprintf(&out, "$ sumac %s\n", call)
		if err := root.Run(context.Background(), append([]string{"sumac"}, strings.Fields(call)...)); err != nil {
			fmt.Fprintf(&out, "%s\nexit %d\n\n", commandline.Describe(err), commandline.ExitCode(err))
		} else {
			t.Errorf("%s was done", call)
		}
	}
	approved(t, "refused.txt", out.String())
}
