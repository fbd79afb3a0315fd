package harness

import (
	"os"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
)

func TestStallsOf_ReadsTheWaitsOfAStall(t *testing.T) {
	fleet := &Fleet{FleetConfig: FleetConfig{Folder: t.TempDir()}}
	m := newMachine(fleet, "proxy1", roleProxy, 0, 1)
	if err := os.MkdirAll(m.folder(), 0o755); err != nil {
		t.Fatal(err)
	}
	log := `{"time":"2026-01-01T00:00:09Z","event":103}
{"time":"2026-01-01T00:00:10Z","event":805,"ms":300,"processor_wait_ms":250,"disk_wait_ms":40,"stolen_ms":30,"within_ms":900}
`
	if err := os.WriteFile(m.LogFile(), []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	r := &run{startedAt: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	want := stall{
		machine: m, start: 9700 * time.Millisecond, end: 10 * time.Second, window: 900 * time.Millisecond,
		waits: environment.Waits{Processor: 250 * time.Millisecond, Disk: 40 * time.Millisecond, Stolen: 30 * time.Millisecond},
	}
	if got := r.stallsOf(m); len(got) != 1 || got[0] != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
