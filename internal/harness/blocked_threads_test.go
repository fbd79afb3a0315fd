package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// A late stop tells of a thread only if the kernel holds it within a disk write over the end of the
// process's bound.
func TestBlockedThreads_OnlyADiskWriteOverTheEndOfTheBoundCounts(t *testing.T) {
	const isWithin = "in folio_wait_bit_common"
	type look struct {
		state string
		call  int
	}
	fsync, futex := unix.SYS_FSYNC, unix.SYS_FUTEX
	for _, c := range []struct {
		name  string
		looks []look
		want  string
	}{
		{"within a write all the time", []look{{"D", fsync}, {"D", fsync}, {"D", fsync}}, "thread 7 at 3 of 3 looks: D " + isWithin},
		{"within a write from the second look on", []look{{"S", futex}, {"D", fsync}, {"D", fsync}}, "thread 7 at 2 of 3 looks: D " + isWithin},
		{"seen once", []look{{"S", futex}, {"S", futex}, {"D", fsync}}, ""},
		{"over before the bound", []look{{"D", fsync}, {"D", fsync}, {"R", fsync}}, ""},
		{"waits for a processor within a write", []look{{"R", fsync}, {"R", fsync}, {"R", fsync}}, ""},
		{"state D, but not of a write", []look{{"D", futex}, {"D", futex}, {"D", futex}}, ""},
		{"the kernel does not tell the system call", []look{{"D", -1}, {"D", -1}, {"D", -1}}, ""},
		{"waits for nothing of a disk", []look{{"S", futex}, {"S", futex}, {"S", futex}}, ""},
		{"one look, as by a soak that was held up", []look{{"D", fsync}}, ""},
		{"none", nil, ""},
	} {
		process := t.TempDir()
		task := filepath.Join(process, "task", "7")
		if err := os.MkdirAll(task, 0o755); err != nil {
			t.Fatal(err)
		}
		var threads blockedThreads
		for _, l := range c.looks {
			for file, text := range map[string]string{
				"stat": fmt.Sprintf("7 (su mac) %s 1 7 7\n", l.state), "wchan": "folio_wait_bit_common", "syscall": fmt.Sprintf("%d 0x3 0x0\n", l.call),
			} {
				if err := os.WriteFile(filepath.Join(task, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			threads.look(process)
		}
		if got := threads.atEnd(); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestBlockedThreads_TellsNothingOfAProcessThatHasEnded(t *testing.T) {
	var threads blockedThreads
	for range 3 {
		threads.look(filepath.Join(t.TempDir(), "none"))
	}
	if got := threads.atEnd(); got != "" {
		t.Error(got)
	}
}
