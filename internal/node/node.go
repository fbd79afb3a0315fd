// Package node puts one node together: its transport and member list, its replicas of the
// shards if it has a data folder, and its proxy if it has an address for clients. It takes
// the calls of targets, operators and applications, and has each executed by the leader of
// its shard, with a bound on hops and on time.
package node

import (
	"context"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// Node is one running node. Its goroutines are the environment's, which waits for them.
type Node struct {
	Env     *environment.Environment
	RPC     *rpc.Transport
	Members *membership.Memberlist

	// A core node has these; they are nil on any other.
	Store        *storage.Store
	Consensus    *consensus.Node
	Stores       []*coordination.Store // by shard
	Coordination *coordination.Service
	Plan         *controlplane.ConfigState
	Targets      *controlplane.TargetRegistry
	Planner      *controlplane.Planner
	configServer *distribution.Server

	// A proxy has these; they are nil on any other node.
	Distribution *distribution.Client
	Proxy        *proxy.Proxy

	mu      sync.Mutex // guards servers
	servers []nodeServer

	leaders          leaderDirectory
	stopping         atomic.Bool
	notifyingPlanner atomic.Bool
	heartbeats       atomic.Int64 // of targets, since the start
	stalls           *stallWatch
}

// Listener is an address of its own for a handler that is made of the node's calls.
type Listener struct {
	Address string
	Handler func(*Node) http.Handler
}

// Start brings a node up, with listeners beside its own API. A fault of its settings is an
// errcode.InvalidSettings; the environment must be shut down then.
func Start(env *environment.Environment, listeners ...Listener) (*Node, error) {
	n, err := open(env)
	if err != nil {
		return nil, err
	}
	if err := n.start(listeners); err != nil {
		return nil, err
	}
	return n, nil
}

// open makes a node and opens its data folder, which may wait for room on the disk.
func open(env *environment.Environment) (*Node, error) {
	n := &Node{Env: env, RPC: rpc.New(env), stalls: &stallWatch{env: env}}
	n.leaders.now = env.Now
	settings := env.Config
	if len(settings.Renamed) > 0 {
		env.Events.Emit(eventlog.SettingsRenamed, "settings", settings.Renamed)
	}
	self, err := n.openStore(selfOf(env))
	if err != nil {
		return nil, err
	}
	n.Members = membership.New(env, n.RPC, self)
	n.RPC.IsSameZone = n.Members.InOwnZone
	if self.Core {
		if err := n.newCore(); err != nil {
			return nil, err
		}
	}
	if settings.ProxyAddress != "" {
		n.newProxy()
	}
	n.RPC.Handle(messageForward, n.handleForward)
	return n, nil
}

// start opens the addresses and starts the tasks of a node that is open.
func (n *Node) start(listeners []Listener) error {
	self := n.Members.Self()
	n.Env.Go(n.stalls.run)
	if err := n.RPC.Start(); err != nil {
		return err
	}
	if err := n.Members.Start(); err != nil {
		return errcode.New(errcode.InvalidSettings, "peer.address: %v", err)
	}
	if self.Core {
		n.Consensus.Start()
		n.Coordination.Start()
		n.Planner.Start()
	}
	if err := n.serveAll(listeners); err != nil {
		return err
	}
	n.Env.Events.Emit(eventlog.NodeStarted, "member_id", string(self.ID), "core", self.Core, "proxy", n.Env.Config.ProxyAddress)
	return nil
}

// selfOf is the node's own record in the member list, but for what its data folder adds.
func selfOf(env *environment.Environment) rpc.Member {
	settings := env.Config
	self := rpc.Member{
		Name:         env.Name,
		ID:           ids.NewMemberID(),
		RPCAddress:   settings.PeerAddress,
		APIAddress:   settings.APIAddress,
		ProxyAddress: settings.ProxyAddress,
		Zone:         settings.Zone,
		Strength:     settings.Strength,
	}
	if settings.PeerAdvertise != "" {
		self.RPCAddress = settings.PeerAdvertise
	}
	if settings.APIAdvertise != "" {
		self.APIAddress = settings.APIAdvertise
	}
	return self
}

// openStore opens the data folder, if there is one, which makes the node a core node.
func (n *Node) openStore(self rpc.Member) (rpc.Member, error) {
	settings := n.Env.Config
	if settings.DataFolder == "" {
		return self, nil
	}
	var err error
	if n.Store, err = storage.Open(n.Env); err != nil {
		return self, err
	}
	if self.ID, err = consensus.LoadOrCreateMemberID(n.Store); err != nil {
		return self, err
	}
	self.Core, self.Founders = true, settings.BootstrapCores
	// A core node whose state was lost must not bootstrap a second fleet.
	if n.Store.ReplacesCorruptStore() {
		self.Founders = 0
	}
	return self, nil
}

// newProxy makes the proxy and the client that keeps its configuration up to date.
func (n *Node) newProxy() {
	n.Distribution = distribution.NewClient(n.Env, n.RPC, n.Members)
	n.Proxy = proxy.New(proxy.Config{
		Environment:   n.Env,
		Configuration: n.Distribution,
		RPC:           n.RPC,
		Membership:    n.Members,
		Coordinate:    n.coordinate,
	})
}

// serveAll opens the addresses of the API, of profiles, of the proxy and of the listeners.
func (n *Node) serveAll(listeners []Listener) error {
	if err := n.serveAPI(); err != nil {
		return err
	}
	if address := n.Env.Config.DebugAddress; address != "" {
		profiles := http.NewServeMux()
		profiles.HandleFunc("/debug/pprof/", pprof.Index)
		profiles.HandleFunc("/debug/pprof/profile", pprof.Profile)
		if err := n.serve(address, "debug.address", profiles); err != nil {
			return err
		}
	}
	if n.Proxy != nil {
		planned := make(chan struct{})
		announce := sync.OnceFunc(func() { close(planned) })
		n.Distribution.Cache.Subscribe(func(*distribution.Snapshot) { announce() })
		n.Distribution.Start()
		if err := n.serveProxy(planned); err != nil {
			return err
		}
	}
	for _, l := range listeners {
		if err := n.serve(l.Address, "face", l.Handler(n)); err != nil {
			return err
		}
	}
	return nil
}

// serveProxy takes connections of clients: at once, or, with proxy.startup_wait, when there
// is a first epoch or that time is over.
func (n *Node) serveProxy(planned <-chan struct{}) error {
	address, wait := n.Env.Config.ProxyAddress, n.Env.Config.ProxyStartupWait
	if wait == 0 {
		return n.serve(address, proxyAddressKey, n.Proxy)
	}
	n.Env.Go(func() {
		timeout := time.NewTimer(wait)
		defer timeout.Stop()
		select {
		case <-planned:
		case <-timeout.C:
		case <-n.Env.Done():
			return
		}
		if n.stopping.Load() {
			return
		}
		if err := n.serve(address, proxyAddressKey, n.Proxy); err != nil {
			n.Env.Events.Emit(eventlog.ProxyListenFailed, "cause", err.Error())
		}
	})
	return nil
}

// Stop stops the node as planned, within shutdown.grace_period: it hands over the shards
// that it leads; a proxy says that it is not ready and serves on for proxy.drain_delay
// whoever has not heard, and then takes nothing new; requests in flight are finished, and
// the others are told that it leaves. What is not finished then is given up, answered, and only
// after that are connections closed, however late this process comes to it. It ends the environment.
func (n *Node) Stop() {
	n.Env.Events.Emit(eventlog.NodeStopping)
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(n.Env, n.Env.Config.ShutdownGracePeriod)
	defer cancel()
	if n.Consensus != nil {
		n.Consensus.TransferLeadership(ctx)
	}
	end, _ := ctx.Deadline()
	if n.Proxy != nil {
		n.Proxy.Drain(end)
		n.Env.Sleep(n.Env.Config.ProxyDrainDelay)
		n.Proxy.Stop()
	}
	n.Members.Leave()
	if n.Proxy == nil {
		n.shutdownServers(ctx, ctx)
	} else {
		if count := n.shutdownServers(n.Proxy.GivenUp(), ctx); count > 0 {
			n.Env.Events.Emit(eventlog.RequestsCutOff, "requests", count)
		}
		n.Proxy.Close()
	}
	n.Env.Events.Emit(eventlog.NodeStopped)
	n.Env.Shutdown()
}
