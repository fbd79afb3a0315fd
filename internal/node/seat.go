// Package seat puts one node together: its pipes, its kin, its parts if it has
// a data folder, its gate if it has an address for callers; and it passes calls
// on to the owner of their part, with a bound on hops and on time.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
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

// maxAPIBody is the largest body of a call, in bytes.
const maxAPIBody = 32 << 20

// Node is one running node.
type Node struct {
	Env          *environment.Environment
	RPC          *rpc.Transport
	Members      *membership.Memberlist
	Store        *storage.Store
	Consensus    *consensus.Node
	Stores       []*coordination.Store
	Coordination *coordination.Service
	Plan         *controlplane.ConfigState
	Targets      *controlplane.TargetRegistry
	Planner      *controlplane.Planner
	Distribution *distribution.Client
	Proxy        *proxy.Proxy

	mu       sync.Mutex
	servers  []*http.Server
	leaders  [ids.ShardCount + 1]atomic.Pointer[string]
	stopping atomic.Bool

	notifyingPlanner atomic.Bool
	heartbeats       atomic.Int64
}

// Listener is a handler of a node's calls, at an address of its own.
type Listener struct {
	Address string
	Handler func(*Node) http.Handler
}

// Start brings a node up, with faces beside its own API.
func Start(r *environment.Environment, faces ...Listener) (*Node, error) {
	n := &Node{Env: r, RPC: rpc.New(r)}
	p := r.Config
	if len(p.Renamed) > 0 {
		r.Events.Emit(eventlog.SettingsRenamed, "settings", p.Renamed)
	}
	me := rpc.Member{Name: r.Name, ID: ids.NewMemberID(), RPCAddress: p.PeerAddress, APIAddress: p.APIAddress, ProxyAddress: p.ProxyAddress, Zone: p.Zone, Strength: p.Strength}
	if p.PeerAdvertise != "" {
		me.RPCAddress = p.PeerAdvertise
	}
	if p.APIAdvertise != "" {
		me.APIAddress = p.APIAdvertise
	}
	if p.DataFolder != "" {
		var err error
		if n.Store, err = storage.Open(r); err != nil {
			return nil, err
		}
		if me.ID, err = consensus.LoadOrCreateMemberID(n.Store); err != nil {
			return nil, err
		}
		me.Core, me.Founders = true, p.BootstrapCores
		if n.Store.ReplacesCorrupt() {
			me.Founders = 0
		}
	}
	n.Members = membership.New(r, n.RPC, me)
	n.RPC.IsSameZone = n.Members.InOwnZone
	if me.Core {
		if err := n.startCore(); err != nil {
			return nil, err
		}
	}
	if p.ProxyAddress != "" {
		n.Distribution = distribution.NewClient(r, n.RPC, n.Members)
		n.Proxy = proxy.New(proxy.Config{Environment: r, Configuration: n.Distribution, RPC: n.RPC, Membership: n.Members, Coordinate: func(ctx context.Context, call *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
			var receipt rpc.CoordinationResponse
			err := n.forward(ctx, operation{ids.ShardOf(call.Name), "bond", call}, 0, &receipt)
			return &receipt, err
		}})
	}
	n.RPC.Handle("seat.pass", n.handleForward)
	if err := n.RPC.Start(); err != nil {
		return nil, err
	}
	if err := n.Members.Start(); err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "peer.address: %v", err)
	}
	if me.Core {
		n.Consensus.Start()
		n.Coordination.Start()
		n.Planner.Start()
	}
	if err := n.serveAPI(); err != nil {
		return nil, err
	}
	if p.DebugAddress != "" {
		profiles := http.NewServeMux()
		profiles.HandleFunc("/debug/pprof/", pprof.Index)
		profiles.HandleFunc("/debug/pprof/profile", pprof.Profile)
		if err := n.serve(p.DebugAddress, "debug.address", profiles); err != nil {
			return nil, err
		}
	}
	if n.Proxy != nil {
		planned := make(chan struct{})
		tell := sync.OnceFunc(func() { close(planned) })
		n.Distribution.Cache.Subscribe(func(*distribution.Snapshot) { tell() })
		n.Distribution.Start()
		if err := n.startProxy(p.ProxyAddress, planned); err != nil {
			return nil, err
		}
	}
	for _, face := range faces {
		if err := n.serve(face.Address, "face", face.Handler(n)); err != nil {
			return nil, err
		}
	}
	r.Events.Emit(eventlog.NodeStarted, "birth", string(me.ID), "core", me.Core, "gate", p.ProxyAddress)
	return n, nil
}

// startProxy takes callers' connections: at once, or when there is a first plan.
func (n *Node) startProxy(address string, planned <-chan struct{}) error {
	wait := n.Env.Config.ProxyStartupWait
	if wait == 0 {
		return n.serve(address, "proxy.address", n.Proxy)
	}
	n.Env.Go(func() {
		late := time.NewTimer(wait)
		defer late.Stop()
		select {
		case <-planned:
		case <-late.C:
		case <-n.Env.Done():
			return
		}
		if n.stopping.Load() {
			return
		}
		if err := n.serve(address, "proxy.address", n.Proxy); err != nil {
			n.Env.Events.Emit(eventlog.ProxyListenFailed, "cause", err.Error())
		}
	})
	return nil
}

func (n *Node) startCore() error {
	var machines []consensus.StateMachine
	for range ids.ShardCount {
		book := coordination.NewStore()
		n.Stores = append(n.Stores, book)
		machines = append(machines, book)
	}
	n.Plan = controlplane.NewConfigState()
	n.Plan.OnCommit = func(sheet *controlplane.EpochState, planned *rpc.EpochEntry) {
		change := ""
		if planned.Change != nil {
			change = planned.Change.ID
		}
		n.Env.Events.Emit(eventlog.EpochCommitted, "epoch", uint64(sheet.Epoch), "change", change, "groups", len(planned.Put)+len(planned.Remove))
	}
	n.Plan.OnDamage = func(err error) { n.Env.Events.Emit(eventlog.GroupDamaged, "cause", err.Error()) }
	machines = append(machines, n.Plan)
	var err error
	if n.Consensus, err = consensus.New(consensus.Config{Environment: n.Env, Transport: n.RPC, Members: n.Members, Store: n.Store, StateMachines: machines}); err != nil {
		return err
	}
	n.Coordination = coordination.NewService(n.Env, n.Consensus, n.Stores)
	n.Targets = controlplane.NewTargetRegistry(controlplane.RegistryConfig{Env: n.Env, Consensus: n.Consensus, Stores: n.Stores, State: n.Plan, OnChange: n.notifyPlanner})
	n.Planner = controlplane.NewPlanner(controlplane.PlannerConfig{Env: n.Env, Transport: n.RPC, Members: n.Members, Consensus: n.Consensus, State: n.Plan})
	distribution.NewServer(distribution.ServerConfig{
		Environment: n.Env,
		Transport:   n.RPC,
		Members:     n.Members,
		Consensus:   n.Consensus,
		State:       n.Plan,
		Planner:     n.Planner,
	})
	rpc.Handle(n.RPC, "plan.whose", func(_ context.Context, request *rpc.InstanceLookupRequest) (*rpc.InstanceLookupResponse, error) {
		return &rpc.InstanceLookupResponse{Service: n.Targets.ServiceOf(request.Instance)}, nil
	})
	n.RPC.Handle("plan.stir", func(c *rpc.Request) (any, error) {
		n.Planner.Trigger()
		return struct{}{}, nil
	})
	rpc.Handle(n.RPC, "plan.news", func(ctx context.Context, request *rpc.TargetReportRequest) (*rpc.TargetReportResponse, error) {
		return n.Targets.Report(ctx, request), nil
	})
	return nil
}

func (n *Node) serve(address, key string, handler http.Handler) error {
	listener, err := n.Env.Host.Listen(address)
	if err != nil {
		return errcode.New(errcode.InvalidSettings, "%s: %v", key, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second, BaseContext: func(net.Listener) context.Context { return n.Env }}
	if key == "proxy.address" && n.Env.Config.ProxyReceiveBufferBytes > 0 {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			if c, ok := conn.(interface{ SetReadBuffer(int) error }); ok {
				c.SetReadBuffer(n.Env.Config.ProxyReceiveBufferBytes)
			}
			return ctx
		}
	}
	n.mu.Lock()
	n.servers = append(n.servers, server)
	n.mu.Unlock()
	n.Env.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !n.Env.IsStopping() {
			n.Env.Events.Emit(eventlog.MessageRejected, "cause", err.Error())
		}
	})
	n.Env.Go(func() {
		<-n.Env.Done()
		server.Close()
	})
	return nil
}

func (n *Node) serveAPI() error {
	server, err := api.NewServer(&apiHandler{n}, api.WithErrorHandler(writeInvalidCall), api.WithNotFound(writeNotFound))
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	return n.serve(n.Env.Config.APIAddress, "api.address", http.MaxBytesHandler(n.withMetrics(server), maxAPIBody))
}

// Stop is the planned stop: this node says that it is not ready, and, if it is a
// proxy, serves on for a moment whoever has not heard; then nothing new is taken,
// what was handed over is finished, owned parts are passed on, and the others are
// told.
func (n *Node) Stop() {
	n.Env.Events.Emit(eventlog.NodeStopping)
	n.stopping.Store(true)
	ctx, end := context.WithTimeout(n.Env, n.Env.Config.ShutdownGracePeriod)
	defer end()
	if n.Consensus != nil {
		n.Consensus.TransferLeadership(ctx)
	}
	if n.Proxy != nil {
		n.Proxy.Drain()
		n.Env.Sleep(n.Env.Config.ProxyDrainDelay)
		n.Proxy.Stop()
	}
	n.Members.Leave()
	var all sync.WaitGroup
	n.mu.Lock()
	servers := n.servers
	n.mu.Unlock()
	for _, server := range servers {
		all.Add(1)
		n.Env.Go(func() { defer all.Done(); server.Shutdown(ctx) })
	}
	all.Wait()
	if n.Proxy != nil {
		n.Proxy.Close()
	}
	n.Env.Events.Emit(eventlog.NodeStopped)
	n.Env.Shutdown()
}

// notifyPlanner tells the owner of the configuration part that there is news of targets.
func (n *Node) notifyPlanner() {
	if n.Consensus.Replica(ids.ConfigShard).IsServing() {
		n.Planner.Trigger()
		return
	}
	if !n.notifyingPlanner.CompareAndSwap(false, true) {
		return
	}
	n.Env.Go(func() {
		defer n.notifyingPlanner.Store(false)
		if address := n.leaderAddress(ids.ConfigShard, 0); address != "" {
			ctx, end := context.WithTimeout(n.Env, 500*time.Millisecond)
			defer end()
			n.RPC.Call(ctx, address, "plan.stir", struct{}{}, nil)
		}
	})
}
