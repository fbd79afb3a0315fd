package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// startServers starts the shape's servers, spread over the zones.
func (r *run) startServers() {
	for i, load := range r.Shape.Loads {
		for j := range load.Servers {
			address := fmt.Sprintf("127.8.%d.%d:%d", i+1, j+1, r.fleet.Port)
			r.startServer(load.Service, address, fmt.Sprintf("zone%d", j%r.Shape.Zones+1))
		}
	}
}

// startServer starts one server, which reports to every node. A failure is printed.
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
	r.launched++
	if err := r.launch(server); err != nil {
		r.logf("%s at %s: %v", service, address, err)
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

// serviceTime is how long the next server works on a request.
func (r *run) serviceTime() time.Duration {
	if len(r.ServiceTimes) == 0 {
		return r.ServiceTime
	}
	return r.ServiceTimes[r.launched%len(r.ServiceTimes)]
}

// takeServer takes a server out of the run. Its taker closes it.
func (r *run) takeServer(random *rand.Rand) *standin.Server {
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

// sealKey is the key by which a service's servers seal their responses.
func sealKey(service string) string { return "key-" + service }
