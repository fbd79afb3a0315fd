package harness

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

// replaceServersInSeries drains one server of a service after the other and starts it anew at its
// address, until the context ends. Services do so at the same time.
func (s *soak) replaceServersInSeries(ctx context.Context, service string, random *rand.Rand) {
	for {
		pause(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		s.replaceServer(s.anyServer(service, random))
	}
}

// anyServer is a server of a service that is drawn and that has not left.
func (s *soak) anyServer(service string, random *rand.Rand) *serverProcess {
	s.launching.Lock()
	defer s.launching.Unlock()
	var candidates []*serverProcess
	for _, p := range s.serverProcesses {
		if p.server.Service == service && !p.isDrained {
			candidates = append(candidates, p)
		}
	}
	return candidates[random.IntN(len(candidates))]
}

// replaceServer drains a server, waits for its end and starts its successor at the same address.
func (s *soak) replaceServer(p *serverProcess) {
	s.recordFault("%s at %s drains", p.server.Service, p.server.Address)
	if err := json.NewEncoder(p.input).Encode(serverControl{Drain: true}); err != nil {
		s.fail("%s at %s can't be told to drain: %v", p.server.Service, p.server.Address, err)
	}
	<-p.done
	s.launching.Lock()
	defer s.launching.Unlock()
	p.isDrained = true
	if err := s.launch(p.server); err != nil {
		s.fail("%s at %s can't start again: %v", p.server.Service, p.server.Address, err)
	}
}
