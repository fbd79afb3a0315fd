package harness

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

func TestDescribeProcess_ListsRunningAndWaitingThreads(t *testing.T) {
	state := describeProcess(os.Getpid())
	process, threads, _ := strings.Cut(state, ", threads: ")
	if process == "" || !strings.Contains(threads, " R") && !strings.Contains(threads, " S") {
		t.Error(state)
	}
}

func TestDescribeProcess_DistinguishesAZombieFromAReapedProcess(t *testing.T) {
	command := exec.Command("true")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	pid := command.Process.Pid
	began := time.Now()
	for !strings.HasPrefix(describeProcess(pid), "Z") {
		if time.Since(began) > 10*time.Second {
			t.Fatal(describeProcess(pid))
		}
	}
	if err := command.Wait(); err != nil {
		t.Fatal(err)
	}
	if state := describeProcess(pid); !strings.Contains(state, "no such file") {
		t.Error(state)
	}
}
