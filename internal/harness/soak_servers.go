package harness

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

// replaceServers replaces random servers of a service, one at a time, until the context ends. It runs
// concurrently for each service.
func (s *soak) replaceServers(ctx context.Context, service string, random *rand.Rand) {
	for {
		pause(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		s.replaceServer(s.randomServer(service, random))
	}
}

// randomServer returns a random server of a service that has not been drained.
func (s *soak) randomServer(service string, random *rand.Rand) *serverProcess {
	s.launchMu.Lock()
	defer s.launchMu.Unlock()
	var candidates []*serverProcess
	for _, p := range s.serverProcesses {
		if p.server.Service == service && !p.isDrained {
			candidates = append(candidates, p)
		}
	}
	return candidates[random.IntN(len(candidates))]
}

// replaceServer drains a server, waits for its exit and starts its successor at the same address.
func (s *soak) replaceServer(p *serverProcess) {
	s.recordFault("%s at %s drains", p.server.Service, p.server.Address)
	if err := json.NewEncoder(p.input).Encode(serverControl{Drain: true}); err != nil {
		s.fail("%s at %s can't be sent the drain message: %v", p.server.Service, p.server.Address, err)
	}
	<-p.done
	s.launchMu.Lock()
	defer s.launchMu.Unlock()
	p.isDrained = true
	if err := s.launch(p.server); err != nil {
		s.fail("%s at %s can't start again: %v", p.server.Service, p.server.Address, err)
	}
}
