package environment

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// dropsMonotonic matches code that strips the monotonic reading from a time. Wall clocks may
// jump, so no decision may depend on them: times stay inside the process, where Go keeps
// their monotonic reading, and only ages are sent to other nodes.
var dropsMonotonic = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(|\.Round\(0\)|\.Truncate\(0\)|time\.(Date|Unix|Parse)\(|\.(UTC|Local|In)\(\)|\.UnmarshalText\(`)

func TestProductionCode_UsesOnlyMonotonicTime(t *testing.T) {
	fileCount := 0
	err := filepath.Walk("..", func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../api/") {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		fileCount++
		for i, line := range strings.Split(string(raw), "\n") {
			if dropsMonotonic.MatchString(line) {
				t.Errorf("%s:%d strips the monotonic reading from a time: %s", path, i+1, strings.TrimSpace(line))
			}
		}
		return nil
	})
	if err != nil || fileCount < 30 {
		t.Fatalf("read %d files, want at least 30: %v", fileCount, err)
	}
	raw, err := os.ReadFile("../../schema/wire.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(raw), "time.Time") {
		t.Fatal("a message between nodes contains a time of day")
	}
	for _, line := range []string{"x.UnixNano()", "t.Round(0)", "time.Unix(1, 2)"} {
		if !dropsMonotonic.MatchString(line) {
			t.Errorf("%q is not matched", line)
		}
	}
}
