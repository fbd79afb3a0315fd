package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// startServers starts the shape's servers, spread evenly over the zones.
func (r *run) startServers() {
	for i, load := range r.Shape.Loads {
		for j := range load.Servers {
			address := fmt.Sprintf("127.8.%d.%d:%d", i+1, j+1, r.fleet.Port)
			r.startServer(load.Service, address, fmt.Sprintf("zone%d", j%r.Shape.Zones+1))
		}
	}
}

// startServer starts one server, which sends heartbeats to the nodes of the fleet. An error is
// printed.
func (r *run) startServer(service, address, zone string) {
	nodes := r.fleet.APIAddresses()
	for _, m := range r.fleet.ProxyMachines() {
		nodes = append(nodes, m.APIAddress())
	}
	server := &standin.Server{
		Network:     environment.NewHost(""),
		History:     r.history,
		Service:     service,
		Zone:        zone,
		Address:     address,
		SealKey:     sealKey(service),
		Nodes:       nodes,
		ServiceTime: r.serviceTime(),
	}
	r.launchAttempts++
	if err := r.launch(server); err != nil {
		r.logf("starting a server of %s at %s failed: %v", service, address, err)
	}
}

// launchServer starts a server in this process.
func (r *run) launchServer(server *standin.Server) error {
	if err := server.Start(r.ctx); err != nil {
		return err
	}
	r.servers = append(r.servers, server)
	return nil
}

// serviceTime returns the service time of the next server.
func (r *run) serviceTime() time.Duration {
	if len(r.ServiceTimes) == 0 {
		return r.ServiceTime
	}
	return r.ServiceTimes[r.launchAttempts%len(r.ServiceTimes)]
}

// removeRandomServer removes a random server from the run and returns it. The caller must close it.
func (r *run) removeRandomServer(random *rand.Rand) *standin.Server {
	i := random.IntN(len(r.servers))
	server := r.servers[i]
	r.servers = append(r.servers[:i], r.servers[i+1:]...)
	return server
}

func (r *run) closeServers() {
	for _, server := range r.servers {
		server.Close()
	}
}

// sealKey returns the key with which a service's servers seal their responses.
func sealKey(service string) string { return "key-" + service }
