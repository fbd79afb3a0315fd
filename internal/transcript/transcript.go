// Package transcript compares the output of a test with an approved file in testdata. A test run
// with -approve overwrites the file with the current output, so that the difference can be
// reviewed in version control.
package transcript

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var approve = flag.Bool("approve", false, "overwrite the approved transcripts with the current output")

// Compare fails the test if got differs from the file of that name in the testdata folder of the
// package under test, or if the file does not exist.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *approve {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-approved +got):\n%s", path, diff)
	}
}
