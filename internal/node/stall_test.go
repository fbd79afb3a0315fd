package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

func TestStallMonitor_ReportsStallsAndKernelWaits(t *testing.T) {
	var log bytes.Buffer
	waits := environment.Waits{Processor: time.Second, Disk: time.Second, Stolen: time.Second}
	w := &stallMonitor{env: environment.New(t.Context(), &config.Settings{}, eventlog.New(&log, "info", "n"), environment.Host{Waits: func() environment.Waits { return waits }})}
	w.readWaits()
	w.observe(minStall - time.Millisecond)
	if log.Len() > 0 || w.totalStall() != 0 {
		t.Error("a delay below minStall was reported:", log.String())
	}
	waits = environment.Waits{Processor: time.Second + 250*time.Millisecond, Disk: time.Second + 40*time.Millisecond, Stolen: time.Second + 30*time.Millisecond}
	w.observe(300 * time.Millisecond)
	if !strings.Contains(log.String(), `"processor_wait_ms":250,"disk_wait_ms":40,"stolen_ms":30,`) {
		t.Error(log.String())
	}
	w.observe(200 * time.Millisecond)
	if !strings.Contains(log.String(), `"ms":300`) || w.totalStall() != 500*time.Millisecond {
		t.Error(w.totalStall(), log.String())
	}
}
