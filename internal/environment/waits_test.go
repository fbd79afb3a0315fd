package environment

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestWaits_ParsesKernelFiles(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	if got := readRunDelay(write("schedstat", "12345 2000000 7\n")); got != 2*time.Millisecond {
		t.Error(got)
	}
	if got := readDiskWait(write("io", "some avg10=0.00 avg60=0.58 avg300=0.35 total=1771850\nfull avg10=0.00 avg60=0.55 avg300=0.34 total=3\n")); got != 1771850*time.Microsecond {
		t.Error(got)
	}
	if got := readStolenTime(write("stat", "cpu  10 20 30 40 50 60 70 976 80 90\ncpu0 1 2 3 4 5 6 7 8 9 10\n")); got != 9760*time.Millisecond {
		t.Error(got)
	}
	for _, path := range []string{filepath.Join(folder, "none"), write("strange", "x"), write("short", "cpu 1 2 3 4 5 6 7\n"), write("one", "cpu0 1 2 3 4 5 6 7 8\n")} {
		if readRunDelay(path) != 0 || readDiskWait(path) != 0 || readStolenTime(path) != 0 {
			t.Error("a malformed or missing file does not give zero:", path)
		}
	}
	earlier := Waits{Processor: 3 * time.Second, Disk: time.Second, Stolen: time.Second}
	if got := (Waits{Processor: time.Second, Disk: 4 * time.Second, Stolen: 6 * time.Second}).Since(earlier); got != (Waits{Disk: 3 * time.Second, Stolen: 5 * time.Second}) {
		t.Error(got)
	}
}
