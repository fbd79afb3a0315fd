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

func TestStallWatch_TellsByHowMuchTheProcessWasHeldUp(t *testing.T) {
	var log bytes.Buffer
	w := &stallWatch{env: environment.New(t.Context(), &config.Settings{}, eventlog.New(&log, "info", "n"), environment.Host{})}
	w.observe(minStall - time.Millisecond)
	if log.Len() > 0 || w.stalledFor() != 0 {
		t.Error("a short delay was reported:", log.String())
	}
	w.observe(300 * time.Millisecond)
	w.observe(200 * time.Millisecond)
	if !strings.Contains(log.String(), `"ms":300`) || w.stalledFor() != 500*time.Millisecond {
		t.Error(w.stalledFor(), log.String())
	}
}
