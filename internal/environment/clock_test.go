package environment

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// dropsMonotonic finds what takes the monotonic part off a time. Wall clocks may jump, so
// they may decide nothing: times stay inside the process, where Go keeps their monotonic
// part, and only ages travel.
var dropsMonotonic = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(|\.Round\(0\)|\.Truncate\(0\)|time\.(Date|Unix|Parse)\(|\.(UTC|Local|In)\(\)|\.UnmarshalText\(`)

func TestNoWallClockDecides(t *testing.T) {
	files := 0
	err := filepath.Walk("..", func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../api/") {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		files++
		for i, line := range strings.Split(string(raw), "\n") {
			if dropsMonotonic.MatchString(line) {
				t.Errorf("%s:%d takes the monotonic part off a time: %s", path, i+1, strings.TrimSpace(line))
			}
		}
		return nil
	})
	if err != nil || files < 30 {
		t.Fatalf("%d files were read: %v", files, err)
	}
	raw, err := os.ReadFile("../../schema/wire.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(raw), "time.Time") {
		t.Fatal("a time of day travels between nodes")
	}
	for _, line := range []string{"x.UnixNano()", "t.Round(0)", "time.Unix(1, 2)"} {
		if !dropsMonotonic.MatchString(line) {
			t.Errorf("%q would not be found", line)
		}
	}
}
