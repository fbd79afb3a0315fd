// Package node assembles one node: its transport and member list, its replicas of the shards
// if it has a data folder, and its proxy if it has an address for clients. It accepts calls
// of targets, operators and applications and routes each to the leader of its shard, with a
// limit on hops and on time.
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

// Node is one running node. It starts its goroutines with Env.Go, so that Env.Shutdown waits
// for them.
type Node struct {
	Env     *environment.Environment
	RPC     *rpc.Transport
	Members *membership.Memberlist

	// Set on core nodes only, otherwise nil.
	Store        *storage.Store
	Consensus    *consensus.Node
	Stores       []*coordination.Store // indexed by shard
	Coordination *coordination.Service
	ConfigState  *controlplane.ConfigState
	Targets      *controlplane.TargetRegistry
	Planner      *controlplane.Planner
	configServer *distribution.Server

	// Set on proxies only, otherwise nil.
	Distribution *distribution.Client
	Proxy        *proxy.Proxy

	mu      sync.Mutex // guards servers
	servers []nodeServer

	leaders          leaderDirectory
	stopping         atomic.Bool
	notifyingPlanner atomic.Bool
	heartbeats       atomic.Int64 // received from targets since the start
	stalls           *stallMonitor
}

// Listener is an additional address that serves a handler built on the node's methods.
type Listener struct {
	Address string
	Handler func(*Node) http.Handler
}

// Start starts a node with additional listeners. Invalid settings are reported as an
// errcode.InvalidSettings. After an error the caller must shut down the environment.
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

// open creates a node and opens its data folder. It may block while the disk is full.
func open(env *environment.Environment) (*Node, error) {
	n := &Node{Env: env, RPC: rpc.New(env), stalls: &stallMonitor{env: env}}
	n.leaders.now = env.Now
	settings := env.Config
	if len(settings.Renamed) > 0 {
		env.Events.Emit(eventlog.SettingsRenamed, "settings", settings.Renamed)
	}
	self, err := n.openStore(newSelf(env))
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

// start opens the addresses and starts the background tasks of a node returned by open.
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

// newSelf returns the node's own record for the member list. openStore adds the fields that
// depend on the data folder.
func newSelf(env *environment.Environment) rpc.Member {
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

// openStore opens the data folder, if the settings name one, and returns self with the fields
// of a core node.
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
	self.Core, self.BootstrapCores = true, settings.BootstrapCores
	// A core node that lost its state must not bootstrap a second fleet.
	if n.Store.ReplacesCorruptStore() {
		self.BootstrapCores = 0
	}
	return self, nil
}

// newProxy creates the proxy and the client that keeps its configuration up to date.
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

// serveAll opens the addresses of the API, the profiler, the proxy and the listeners.
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
		configured := make(chan struct{})
		notifyConfigured := sync.OnceFunc(func() { close(configured) })
		n.Distribution.Cache.Subscribe(func(*distribution.Snapshot) { notifyConfigured() })
		n.Distribution.Start()
		if err := n.serveProxy(configured); err != nil {
			return err
		}
	}
	for _, l := range listeners {
		if err := n.serve(l.Address, "listener", l.Handler(n)); err != nil {
			return err
		}
	}
	return nil
}

// serveProxy starts accepting client connections. With proxy.startup_wait it does so once
// configured is closed, at the first epoch, or after that time at the latest.
func (n *Node) serveProxy(configured <-chan struct{}) error {
	address, wait := n.Env.Config.ProxyAddress, n.Env.Config.ProxyStartupWait
	if wait == 0 {
		return n.serve(address, proxyAddressKey, n.Proxy)
	}
	n.Env.Go(func() {
		timeout := time.NewTimer(wait)
		defer timeout.Stop()
		select {
		case <-configured:
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

// Stop shuts the node down gracefully within shutdown.grace_period, and then ends the
// environment. It transfers the leadership of its shards. A proxy reports that it is not
// ready, keeps serving for proxy.drain_delay so that clients can notice, and then rejects
// new requests. The node announces to the other members that it leaves, and finishes
// requests in flight. A proxy aborts the requests that are not finished in time, responds
// to them, and only then closes their connections, even if that happens after the grace
// period because this process was stalled.
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
		if count := n.shutdownServers(n.Proxy.AbortContext(), ctx); count > 0 {
			n.Env.Events.Emit(eventlog.RequestsAborted, "requests", count)
		}
		n.Proxy.Close()
	}
	n.Env.Events.Emit(eventlog.NodeStopped)
	n.Env.Shutdown()
}
