// Package transcript compares what a test saw with an approved text. Tests run with -approve
// take over what they see as the approved text; the change then shows in the repository.
package transcript

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var approve = flag.Bool("approve", false, "take over the transcripts as they are now")

// Compare fails the test if got differs from the approved file of that name in the package's
// folder testdata, or if there is no such file.
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
		t.Errorf("%s differs (-approved +now):\n%s", path, diff)
	}
}
