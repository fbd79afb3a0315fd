package harness

import (
	"os"
	"strings"
	"testing"
)

func TestThreadStates_TellsOfRunningAndWaitingThreads(t *testing.T) {
	states := threadStates(os.Getpid())
	if !strings.Contains(states, " R") && !strings.Contains(states, " S") {
		t.Error(states)
	}
	if got := threadStates(-1); got != "none" {
		t.Error(got)
	}
}
