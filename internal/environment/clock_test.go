// Clocks may jump, so no wall clock may decide anything: times stay inside the
// process, where Go keeps their monotonic part, and only ages travel. This looks
// for whatever would take that part off.
package environment

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var takesOff = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(|\.Round\(0\)|\.Truncate\(0\)|time\.(Date|Unix|Parse)\(|\.(UTC|Local|In)\(\)|\.UnmarshalText\(`)

// Where a wall clock is only shown to people.
var shown = map[string]bool{"../sign/sign.go": true, "../seat/show.go": true}

func TestNoWallClockDecides(t *testing.T) {
	seen := 0
	err := filepath.Walk("..", func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../api/") || shown[path] {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		seen++
		for i, line := range strings.Split(string(raw), "\n") {
			if takesOff.MatchString(line) {
				t.Errorf("%s:%d takes the monotonic part off a time: %s", path, i+1, strings.TrimSpace(line))
			}
		}
		return nil
	})
	if err != nil || seen < 30 {
		t.Fatal(seen, err)
	}
	raw, err := os.ReadFile("../../schema/wire.yaml")
	if err != nil || strings.Contains(string(raw), "time.Time") {
		t.Fatal("times must not travel", err)
	}
	for _, line := range []string{"x.UnixNano()", "t.Round(0)", "time.Unix(1, 2)"} {
		if !takesOff.MatchString(line) {
			t.Errorf("%q would not be found", line)
		}
	}
}
