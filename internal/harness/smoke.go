package harness

import (
	"context"
	"io"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// smoke is the state of a smoke test in progress.
type smoke struct {
	*run
	client *standin.Client
}

// Smoke runs a small fleet end to end: it bootstraps the fleet, submits a change set that reaches
// every proxy, sends requests to servers that heartbeat and seal their responses, kills and
// restarts a core node and a proxy, does planned stops, and checks the history. Its duration
// and number of requests are limited, and its verdict depends on safety rules only.
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
	wantServers := 0
	for _, load := range s.Shape.Loads {
		wantServers += load.Servers
	}
	if len(s.servers) != wantServers {
		return errcode.New(errcode.Internal, "%d of %d servers were started", len(s.servers), wantServers)
	}
	s.logf("all nodes are ready")
	if err := s.awaitService("after the deployment"); err != nil {
		return err
	}
	if err := s.killAndRestart(); err != nil {
		return err
	}
	for _, name := range []string{"proxy1", "core2"} {
		if !s.fleet.Machine(name).Stop() {
			return errcode.New(errcode.Internal, "%s did not stop in time", name)
		}
		s.logf("%s stopped as planned", name)
	}
	for _, name := range []string{"proxy1", "core2"} {
		if err := s.fleet.Machine(name).Start(); err != nil {
			return err
		}
	}
	if err := s.awaitService("after the planned stops"); err != nil {
		return err
	}
	if err := s.releaseLate(); err != nil {
		return err
	}
	s.history.Add(checker.Record{Kind: checker.ScenarioEnded})
	return s.checkHistory()
}

// killAndRestart kills a core node and a proxy. It restarts the proxy at once, and the core node
// later with an empty disk.
func (s *smoke) killAndRestart() error {
	core, proxy := s.fleet.Machine("core1"), s.fleet.Machine("proxy2")
	core.Kill()
	proxy.Kill()
	if err := proxy.Start(); err != nil {
		return err
	}
	if err := s.awaitService("after a core node and a proxy were killed"); err != nil {
		return err
	}
	if err := core.Wipe(); err != nil {
		return err
	}
	if err := core.Start(); err != nil {
		return err
	}
	return s.awaitService("after the core node was restarted with an empty disk")
}

// awaitService waits until a read and an order succeed through every proxy.
func (s *smoke) awaitService(stage string) error {
	for _, m := range s.fleet.ProxyMachines() {
		err := waitUntil(s.ctx, readyTimeout, func() bool {
			readRecord := s.client.Call(s.ctx, m.ProxyAddress(), "GET", "/rates/lane", "rates", nil)
			orderRecord := s.client.Call(s.ctx, m.ProxyAddress(), "POST", "/bookings", "bookings", []byte(`{"container":1}`))
			return readRecord.Outcome == checker.OutcomeRan && orderRecord.Outcome == checker.OutcomeRan
		})
		if err != nil {
			return errcode.New(errcode.Internal, "%s: %s does not serve", stage, m.Name)
		}
	}
	s.logf("%s: every proxy serves", stage)
	return nil
}
