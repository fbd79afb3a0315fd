package controlplane

import (
	"errors"
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestValidateHeartbeat_NamesEachFaultByItsPath(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*rpc.TargetHeartbeat)
		paths  []string
	}{
		"serving":            {func(h *rpc.TargetHeartbeat) {}, nil},
		"draining":           {func(h *rpc.TargetHeartbeat) { h.State = StateDraining }, nil},
		"leaving":            {func(h *rpc.TargetHeartbeat) { h.State = StateLeaving }, nil},
		"timed out":          {func(h *rpc.TargetHeartbeat) { h.State = StateTimedOut }, []string{"state"}},
		"no service":         {func(h *rpc.TargetHeartbeat) { h.Service = "" }, []string{"service"}},
		"service with slash": {func(h *rpc.TargetHeartbeat) { h.Service = "a/b" }, []string{"service"}},
		"longest instance":   {func(h *rpc.TargetHeartbeat) { h.Instance = strings.Repeat("i", 128) }, nil},
		"instance too long":  {func(h *rpc.TargetHeartbeat) { h.Instance = strings.Repeat("i", 129) }, []string{"instance"}},
		"address by name":    {func(h *rpc.TargetHeartbeat) { h.Address = "host:80" }, []string{"address"}},
		"greatest weight":    {func(h *rpc.TargetHeartbeat) { h.Weight = 1_000_000 }, nil},
		"weight too great":   {func(h *rpc.TargetHeartbeat) { h.Weight = 1_000_001 }, []string{"weight"}},
		"slots below zero":   {func(h *rpc.TargetHeartbeat) { h.Slots = -1 }, []string{"slots"}},
		"cold below zero":    {func(h *rpc.TargetHeartbeat) { h.SlowStartMillis = -1 }, []string{"cold"}},
		"two faults":         {func(h *rpc.TargetHeartbeat) { h.Weight, h.State = -1, "" }, []string{"weight", "state"}},
	} {
		t.Run(name, func(t *testing.T) {
			heartbeat := &rpc.TargetHeartbeat{Service: "s", Instance: "i", Address: "10.0.0.1:80", State: StateServing}
			c.change(heartbeat)
			err := ValidateHeartbeat(heartbeat)
			if c.paths == nil {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if !errors.Is(err, errcode.InvalidHeartbeat) {
				t.Fatal(err)
			}
			faults := errcode.From(err).Paths
			if len(faults) != len(c.paths) {
				t.Fatalf("%q, want %q", faults, c.paths)
			}
			for i, path := range c.paths {
				if !strings.HasPrefix(faults[i], path+": ") {
					t.Errorf("%q, want %s", faults[i], path)
				}
			}
		})
	}
}
