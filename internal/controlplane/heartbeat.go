package controlplane

import (
	"net/netip"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// States of a target. Servers send the first three in their heartbeats.
const (
	StateServing  = "serving"
	StateDraining = "draining"
	StateLeaving  = "leaving"
	// StateTimedOut is the state of a target without a heartbeat for
	// controlplane.heartbeat_timeout.
	StateTimedOut = "silent"
)

// ValidateHeartbeat checks the fields of a heartbeat. The error is errcode.InvalidHeartbeat with
// the path of each fault.
func ValidateHeartbeat(heartbeat *rpc.TargetHeartbeat) error {
	var v validator
	for _, field := range []struct{ path, name string }{{"service", heartbeat.Service}, {"instance", heartbeat.Instance}} {
		if !isValidName(field.name, "/ ") {
			v.fail("%s: is empty, too long, or holds a slash or a space", field.path)
		}
	}
	if _, err := netip.ParseAddrPort(heartbeat.Address); err != nil {
		v.fail("address: is not an IP number with a port")
	}
	v.within("weight", heartbeat.Weight, 0, maxWeight, "")
	v.notNegative("slots", int64(heartbeat.Slots))
	v.notNegative("cold", heartbeat.SlowStartMillis)
	switch heartbeat.State {
	case StateServing, StateDraining, StateLeaving:
	default:
		v.fail("state: is none of serving, draining, leaving")
	}
	if len(v.faults) > 0 {
		return errcode.NewPaths(errcode.InvalidHeartbeat, v.faults)
	}
	return nil
}

// changesTarget reports whether a heartbeat differs from the last one in a field that
// affects the target lists.
func changesTarget(last, heartbeat *rpc.TargetHeartbeat) bool {
	return last.State != heartbeat.State || last.Address != heartbeat.Address || last.Zone != heartbeat.Zone ||
		last.Weight != heartbeat.Weight || last.Slots != heartbeat.Slots
}
