package harness

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Port offsets. All addresses of a machine have the same IP address; each port is the fleet's port
// plus one of these offsets.
const (
	portRPC = iota
	portAPI
	portProxy
	portProfiles
	portRelayed // the node's peer port when a relay listens at portRPC
	portsPerMachine
)

// The fleet's port is the first port of one of portRanges ranges. All of these are below Linux's
// ephemeral ports, of which the outgoing connections of a large run occupy thousands.
const (
	firstPort    = 10000
	portRanges   = 4400
	portAttempts = 50
)

// freePorts returns the first of portsPerMachine successive ports that are free on all
// loopback addresses.
func freePorts() (int, error) {
	for range portAttempts {
		first := firstPort + portsPerMachine*rand.IntN(portRanges)
		if arePortsFree(first) {
			return first, nil
		}
	}
	return 0, errcode.New(errcode.Internal, "found no range of free ports")
}

func arePortsFree(first int) bool {
	for i := range portsPerMachine {
		listener, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", first+i))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}
