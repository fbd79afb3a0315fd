package harness

import (
	"context"
	"fmt"
	"io"
)

// Up starts a deployment of a shape with stand-in servers, prints its addresses, and keeps it
// running until the context ends. It is meant for manual inspection, calls and fault injection.
func Up(ctx context.Context, binary, folder string, shape Shape, output io.Writer) error {
	r, err := newRun(ctx, Options{Binary: binary, Folder: folder, Shape: shape, Output: output, Fault: faultNone})
	if err != nil {
		return err
	}
	defer r.fleet.KillAll()
	defer r.closeServers()
	if _, err := r.deploy(initialChange("first", r.Shape.Loads)); err != nil {
		return err
	}
	r.printAddresses()
	<-ctx.Done()
	return nil
}

func (r *run) printAddresses() {
	for _, m := range r.fleet.Machines {
		proxy := ""
		if m.role == roleProxy {
			proxy = "proxy " + m.ProxyAddress()
		}
		fmt.Fprintf(r.Output, "%-8s %-6s pid %-7d api %-18s %s\n", m.Name, m.Zone, m.PID(), m.APIAddress(), proxy)
	}
	api := r.fleet.Machines[0].APIAddress()
	fmt.Fprintf(r.Output, "\nlogs are in %s; try:\n  curl -i http://%s/%s/x\n  bin/sumac shell --api %s members\n  bin/sumac epoch --api %s\nstop with Ctrl-C\n",
		r.Folder, r.fleet.ProxyMachines()[0].ProxyAddress(), r.Shape.Loads[0].Service, api, api)
}
