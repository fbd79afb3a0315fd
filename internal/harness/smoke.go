package harness

import (
	"context"
	"io"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// smoke is a smoke test under way.
type smoke struct {
	*run
	client *standin.Client
}

// Smoke runs a small fleet through its whole path: it is bootstrapped, servers send heartbeats,
// a change set is accepted and reaches every proxy, clients get sealed responses, a core node
// and a proxy are killed and come back, nodes stop as planned, and the history is judged. It
// is bounded in counts and time, and its verdict depends on safety alone.
func Smoke(ctx context.Context, binary, folder string, output io.Writer) error {
	r, err := newRun(ctx, Options{Binary: binary, Folder: folder, Shape: Shapes["small"], Output: output, Fault: faultNone})
	if err != nil {
		return err
	}
	s := smoke{run: r, client: standin.NewClient(environment.NewHost(""), r.history)}
	defer s.client.Close()
	return s.execute()
}

func (s *smoke) execute() error {
	defer s.fleet.KillAll()
	defer s.closeServers()
	s.history.Add(checker.Record{Kind: checker.ScenarioStarted, Note: "smoke"})
	if _, err := s.deploy(initialChange("first", s.Shape.Loads)); err != nil {
		return err
	}
	wanted := 0
	for _, load := range s.Shape.Loads {
		wanted += load.Servers
	}
	if len(s.servers) != wanted {
		return errcode.New(errcode.Internal, "%d of %d servers were started", len(s.servers), wanted)
	}
	s.logf("every node is ready")
	if err := s.awaitService("at first"); err != nil {
		return err
	}
	if err := s.killAndRestart(); err != nil {
		return err
	}
	for _, name := range []string{"proxy1", "core2"} {
		if !s.fleet.Machine(name).Stop() {
			return errcode.New(errcode.Internal, "%s did not stop in time", name)
		}
		s.logf("%s stopped by itself", name)
	}
	s.history.Add(checker.Record{Kind: checker.ScenarioEnded})
	return s.judge()
}

// killAndRestart kills a core node and a proxy. The proxy is back at once, the core node later
// and with an empty disk.
func (s *smoke) killAndRestart() error {
	core, proxy := s.fleet.Machine("core1"), s.fleet.Machine("proxy2")
	core.Kill()
	proxy.Kill()
	if err := proxy.Start(); err != nil {
		return err
	}
	if err := s.awaitService("a core node and a proxy killed"); err != nil {
		return err
	}
	if err := core.Wipe(); err != nil {
		return err
	}
	if err := core.Start(); err != nil {
		return err
	}
	return s.awaitService("the core node back with an empty disk")
}

// awaitService waits until every proxy has a read and an order executed.
func (s *smoke) awaitService(stage string) error {
	for _, m := range s.fleet.ProxyMachines() {
		err := waitUntil(s.ctx, readyTimeout, func() bool {
			read := s.client.Call(s.ctx, m.ProxyAddress(), "GET", "/rates/lane", "rates", nil)
			order := s.client.Call(s.ctx, m.ProxyAddress(), "POST", "/bookings", "bookings", []byte(`{"container":1}`))
			return read.Outcome == checker.OutcomeRan && order.Outcome == checker.OutcomeRan
		})
		if err != nil {
			return errcode.New(errcode.Internal, "%s: %s does not serve", stage, m.Name)
		}
	}
	s.logf("%s: every proxy serves", stage)
	return nil
}
