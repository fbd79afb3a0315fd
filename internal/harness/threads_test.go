package harness

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

func TestProcessState_TellsOfRunningAndWaitingThreads(t *testing.T) {
	state := processState(os.Getpid())
	process, threads, _ := strings.Cut(state, ", threads: ")
	if process == "" || !strings.Contains(threads, " R") && !strings.Contains(threads, " S") {
		t.Error(state)
	}
}

func TestProcessState_TellsAnEndThatWasNotTakenFromOneThatWas(t *testing.T) {
	command := exec.Command("true")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	pid := command.Process.Pid
	began := time.Now()
	for !strings.HasPrefix(processState(pid), "Z") {
		if time.Since(began) > 10*time.Second {
			t.Fatal(processState(pid))
		}
	}
	if err := command.Wait(); err != nil {
		t.Fatal(err)
	}
	if state := processState(pid); !strings.Contains(state, "no such file") {
		t.Error(state)
	}
}
