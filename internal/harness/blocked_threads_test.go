package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// A thread is described only if it is in a disk write in the last sample, taken at the end of
// stopTimeout, and in an earlier one.
func TestBlockedThreads_DescribesOnlyThreadsInADiskWriteAtTheLastSample(t *testing.T) {
	const waitChannel = "in folio_wait_bit_common"
	type sample struct {
		state string
		call  int
	}
	fsync, futex := unix.SYS_FSYNC, unix.SYS_FUTEX
	for _, c := range []struct {
		name    string
		samples []sample
		want    string
	}{
		{"in a write in every sample", []sample{{"D", fsync}, {"D", fsync}, {"D", fsync}}, "thread 7 in 3 of 3 samples: D " + waitChannel},
		{"in a write from the second sample on", []sample{{"S", futex}, {"D", fsync}, {"D", fsync}}, "thread 7 in 2 of 3 samples: D " + waitChannel},
		{"in a write in the last sample only", []sample{{"S", futex}, {"S", futex}, {"D", fsync}}, ""},
		{"write completed before the last sample", []sample{{"D", fsync}, {"D", fsync}, {"R", fsync}}, ""},
		{"waits for a processor in a write", []sample{{"R", fsync}, {"R", fsync}, {"R", fsync}}, ""},
		{"state D in another system call", []sample{{"D", futex}, {"D", futex}, {"D", futex}}, ""},
		{"system call not reported by the kernel", []sample{{"D", -1}, {"D", -1}, {"D", -1}}, ""},
		{"waits for no disk", []sample{{"S", futex}, {"S", futex}, {"S", futex}}, ""},
		{"one sample, as when the soak itself is delayed", []sample{{"D", fsync}}, ""},
		{"no sample", nil, ""},
	} {
		processDir := t.TempDir()
		taskDir := filepath.Join(processDir, "task", "7")
		if err := os.MkdirAll(taskDir, 0o755); err != nil {
			t.Fatal(err)
		}
		var threads blockedThreads
		for _, s := range c.samples {
			for file, text := range map[string]string{
				"stat": fmt.Sprintf("7 (su mac) %s 1 7 7\n", s.state), "wchan": "folio_wait_bit_common", "syscall": fmt.Sprintf("%d 0x3 0x0\n", s.call),
			} {
				if err := os.WriteFile(filepath.Join(taskDir, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			threads.sample(processDir)
		}
		if got := threads.describe(); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestBlockedThreads_DescribesNothingForAnExitedProcess(t *testing.T) {
	var threads blockedThreads
	for range 3 {
		threads.sample(filepath.Join(t.TempDir(), "none"))
	}
	if got := threads.describe(); got != "" {
		t.Error(got)
	}
}
