package harness

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// A machine's addresses have the same IP number and differ by the port: the fleet's port and
// the ones above it.
const (
	portRPC = iota
	portAPI
	portProxy
	portProfiles
	portRelayed // on which the node listens behind a relay
	portsPerMachine
)

// Ports are taken from a range below those that the system gives to outgoing connections, of
// which a run of many nodes holds thousands.
const (
	firstPort    = 10000
	portChoices  = 4400
	portAttempts = 50
)

// freePorts returns the first of portsPerMachine successive ports that are free on all
// loopback addresses.
func freePorts() (int, error) {
	for range portAttempts {
		first := firstPort + portsPerMachine*rand.IntN(portChoices)
		if areFree(first) {
			return first, nil
		}
	}
	return 0, errcode.New(errcode.Internal, "no free ports")
}

func areFree(first int) bool {
	for i := range portsPerMachine {
		listener, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", first+i))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}
