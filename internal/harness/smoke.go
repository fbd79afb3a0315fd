// The smoke run: a small fleet of real processes founds itself, servers beat, a
// change set is adopted and carried to every proxy, callers get sealed answers,
// a core node and a proxy are killed and come back, and the history is judged.
// It is bounded in counts and time, and its verdict hangs on safety only.
package harness

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// initialChange is the configuration the stand-ins use.
func initialChange(id string, services map[string]bool) *api.Change {
	change := &api.Change{ID: id, Whole: api.NewOptBool(true)}
	config := api.Config{}
	for name, isRepeatable := range services {
		config.Services = append(config.Services, api.Service{Name: name, Key: api.NewOptString("key-" + name)})
		config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: name, Weight: 1}}, Repeatable: api.NewOptBool(isRepeatable), Deadline: api.NewOptInt64(5000)})
	}
	change.Put = api.NewOptConfig(config)
	return change
}

// Smoke is the bounded run.
func Smoke(ctx context.Context, binary, folder string, out io.Writer) error {
	port, err := freePorts()
	if err != nil {
		return err
	}
	f := New(binary, folder, port, 3, 2, 3)
	defer f.KillAll()
	began := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%6.2fs %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	h := checker.NewHistory(nil)
	f.History = h
	if err := f.StartAll(); err != nil {
		return err
	}
	h.Add(checker.Record{Kind: checker.ScenarioStarted, Note: "smoke"})
	host := environment.NewHost("")
	services := map[string]bool{"rates": true, "bookings": false}
	for name := range services {
		for i := range 3 {
			s := &standin.Server{Network: host, History: h, Service: name, Zone: fmt.Sprintf("zone%d", i+1), Address: fmt.Sprintf("127.1.%d.%d:%d", i+1, 50+len(name), port), SealKey: "key-" + name, Nodes: f.APIAddresses()}
			if err := s.Start(ctx); err != nil {
				return err
			}
			defer s.Close()
		}
	}
	operator := standin.NewOperator(host, h, f.Machine("proxy1").APIAddress())
	if err := waitUntil(ctx, 30*time.Second, func() bool {
		receipt, err := operator.Submit(ctx, initialChange("first", services))
		if err == nil {
			say("change set accepted in epoch %d", receipt.Epoch)
		}
		return err == nil
	}); err != nil {
		return errcode.New(errcode.Internal, "the first change set was not accepted")
	}
	wait, end := context.WithTimeout(ctx, 30*time.Second)
	defer end()
	if err := f.AwaitReady(wait); err != nil {
		return err
	}
	say("every node is ready")
	caller := standin.NewClient(host, h)
	defer caller.Close()
	served := func(proxy *Machine) func() bool {
		return func() bool {
			a := caller.Call(ctx, proxy.ProxyAddress(), "GET", "/rates/lane", "rates", nil)
			b := caller.Call(ctx, proxy.ProxyAddress(), "POST", "/bookings", "bookings", []byte(`{"container":1}`))
			return a.Outcome == "ran" && b.Outcome == "ran"
		}
	}
	everyProxy := func(what string) error {
		for _, proxy := range f.ProxyMachines() {
			if err := waitUntil(ctx, 30*time.Second, served(proxy)); err != nil {
				return errcode.New(errcode.Internal, "%s: %s does not serve", what, proxy.Name)
			}
		}
		say("%s: every proxy serves", what)
		return nil
	}
	if err := everyProxy("at first"); err != nil {
		return err
	}
	f.Machine("core1").Kill()
	f.Machine("proxy2").Kill()
	if err := f.Machine("proxy2").Start(); err != nil {
		return err
	}
	if err := everyProxy("a core node and a proxy killed"); err != nil {
		return err
	}
	if err := f.Machine("core1").Wipe(); err != nil {
		return err
	}
	if err := f.Machine("core1").Start(); err != nil {
		return err
	}
	if err := everyProxy("the core node back with an empty disk"); err != nil {
		return err
	}
	for _, name := range []string{"proxy1", "core2"} {
		if !f.Machine(name).Stop() {
			return errcode.New(errcode.Internal, "%s did not stop in time", name)
		}
		say("%s stopped by itself", name)
	}
	h.Add(checker.Record{Kind: checker.ScenarioEnded})
	verdict := checker.Check(h.Records())
	fmt.Fprint(out, verdict)
	if !verdict.IsValid() {
		return errcode.New(errcode.Internal, "the history breaks a rule")
	}
	return nil
}

// waitUntil tries until it is so, or the time is over.
func waitUntil(ctx context.Context, limit time.Duration, isSo func() bool) error {
	over := time.Now().Add(limit)
	for !isSo() {
		if time.Now().After(over) || ctx.Err() != nil {
			return errcode.New(errcode.Internal, "not in time")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
