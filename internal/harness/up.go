// Up keeps a fleet with stand-in servers running, for whoever wants to look at
// it, call it and hurt it by hand.
package harness

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Up starts a shape and prints how to reach it; it ends with the context.
func Up(ctx context.Context, binary, folder string, shape Shape, out io.Writer) error {
	port, err := freePorts()
	if err != nil {
		return err
	}
	f := New(binary, folder, port, shape.Cores, shape.Proxies, shape.Zones)
	defer f.KillAll()
	if err := f.StartAll(); err != nil {
		return err
	}
	r := &Run{fleet: f, shape: shape, ctx: ctx, history: checker.NewHistory(io.Discard), out: out, began: time.Now()}
	services := map[string]bool{}
	for _, l := range shape.Loads {
		services[l.Service] = l.Idempotent
		for i := range l.Servers {
			r.startServer(l.Service, fmt.Sprintf("127.8.%d.%d:%d", len(services), i+1, port), fmt.Sprintf("zone%d", i%shape.Zones+1))
		}
	}
	operator := standin.NewOperator(environment.NewHost(""), r.history, f.ProxyMachines()[0].APIAddress())
	if err := waitUntil(ctx, 30*time.Second, func() bool { _, err := operator.Submit(ctx, initialChange("first", services)); return err == nil }); err != nil {
		return errcode.New(errcode.Internal, "the first change set was not accepted")
	}
	wait, end := context.WithTimeout(ctx, 30*time.Second)
	err = f.AwaitReady(wait)
	end()
	if err != nil {
		return err
	}
	for _, m := range f.Machines {
		gate := ""
		if m.IsProxy {
			gate = "gate " + m.ProxyAddress()
		}
		fmt.Fprintf(out, "%-8s %-6s pid %-7d api %-18s %s\n", m.Name, m.Zone, m.Pid(), m.APIAddress(), gate)
	}
	fmt.Fprintf(out, "\nlogs are in %s; try:\n  curl -i http://%s/%s/x\n  bin/sumac shell --api %s members\n  bin/sumac epoch --api %s\nend with an interrupt\n", folder, f.ProxyMachines()[0].ProxyAddress(), shape.Loads[0].Service, f.Machines[0].APIAddress(), f.Machines[0].APIAddress())
	<-ctx.Done()
	for _, s := range r.servers {
		s.Close()
	}
	return nil
}
