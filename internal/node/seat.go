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

// apiMost is the largest body of a call, in bytes.
const apiMost = 32 << 20

// Node is one running node.
type Node struct {
	R            *environment.Environment
	Wire         *rpc.Transport
	Kin          *membership.Memberlist
	Store        *storage.Store
	Consensus    *consensus.Node
	Stores       []*coordination.Store
	Coordination *coordination.Service
	Ledger       *controlplane.ConfigState
	Roll         *controlplane.TargetRegistry
	Planner      *controlplane.Planner
	Flow         *distribution.Client
	Gate         *proxy.Proxy

	mu      sync.Mutex
	servers []*http.Server
	owners  [ids.ShardCount + 1]atomic.Pointer[string]
	isGoing atomic.Bool

	isStirring atomic.Bool
	beats      atomic.Int64
}

// Face is a handler of a node's calls, at an address of its own.
type Face struct {
	Address string
	Handler func(*Node) http.Handler
}

// Start brings a node up, with faces beside its own API.
func Start(r *environment.Environment, faces ...Face) (*Node, error) {
	n := &Node{R: r, Wire: rpc.New(r)}
	p := r.Config
	me := rpc.Member{Name: r.Name, ID: ids.NewMemberID(), RPCAddress: p.WireAddress, APIAddress: p.APIAddress, ProxyAddress: p.GateAddress, Zone: p.Zone, Strength: p.Strength}
	if p.WireAdvertise != "" {
		me.RPCAddress = p.WireAdvertise
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
		me.Core, me.Founders = true, p.FoundCores
		if n.Store.ReplacesCorrupt() {
			me.Founders = 0
		}
	}
	n.Kin = membership.New(r, n.Wire, me)
	n.Wire.IsSameZone = n.Kin.InOwnZone
	if me.Core {
		if err := n.openCore(); err != nil {
			return nil, err
		}
	}
	if p.GateAddress != "" {
		n.Flow = distribution.NewClient(r, n.Wire, n.Kin)
		n.Gate = proxy.New(proxy.Config{Environment: r, Configuration: n.Flow, RPC: n.Wire, Membership: n.Kin, Coordinate: func(ctx context.Context, call *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
			var receipt rpc.CoordinationResponse
			err := n.pass(ctx, op{ids.ShardOf(call.Name), "bond", call}, 0, &receipt)
			return &receipt, err
		}})
	}
	n.Wire.Handle("seat.pass", n.passed)
	if err := n.Wire.Start(); err != nil {
		return nil, err
	}
	if err := n.Kin.Start(); err != nil {
		return nil, errcode.New(errcode.BadProps, "wire.address: %v", err)
	}
	if me.Core {
		n.Consensus.Start()
		n.Coordination.Start()
		n.Planner.Start()
	}
	if err := n.serveApi(); err != nil {
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
	if n.Gate != nil {
		planned := make(chan struct{})
		tell := sync.OnceFunc(func() { close(planned) })
		n.Flow.Cache.Subscribe(func(*distribution.Snapshot) { tell() })
		n.Flow.Start()
		if err := n.openGate(p.GateAddress, planned); err != nil {
			return nil, err
		}
	}
	for _, face := range faces {
		if err := n.serve(face.Address, "face", face.Handler(n)); err != nil {
			return nil, err
		}
	}
	r.Events.Say(eventlog.NodeStarted, "birth", string(me.ID), "core", me.Core, "gate", p.GateAddress)
	return n, nil
}

// openGate takes callers' connections: at once, or when there is a first plan.
func (n *Node) openGate(address string, planned <-chan struct{}) error {
	wait := n.R.Config.GateWait
	if wait == 0 {
		return n.serve(address, "gate.address", n.Gate)
	}
	n.R.Go(func() {
		late := time.NewTimer(wait)
		defer late.Stop()
		select {
		case <-planned:
		case <-late.C:
		case <-n.R.Done():
			return
		}
		if n.isGoing.Load() {
			return
		}
		if err := n.serve(address, "gate.address", n.Gate); err != nil {
			n.R.Events.Say(eventlog.GateFailed, "cause", err.Error())
		}
	})
	return nil
}

func (n *Node) openCore() error {
	var machines []consensus.StateMachine
	for range ids.ShardCount {
		book := coordination.NewStore()
		n.Stores = append(n.Stores, book)
		machines = append(machines, book)
	}
	n.Ledger = controlplane.NewConfigState()
	n.Ledger.OnCommit = func(sheet *controlplane.EpochState, planned *rpc.EpochEntry) {
		change := ""
		if planned.Change != nil {
			change = planned.Change.ID
		}
		n.R.Events.Say(eventlog.EpochCommitted, "epoch", uint64(sheet.Epoch), "change", change, "groups", len(planned.Put)+len(planned.Remove))
	}
	n.Ledger.OnDamage = func(err error) { n.R.Events.Say(eventlog.GroupDamaged, "cause", err.Error()) }
	machines = append(machines, n.Ledger)
	var err error
	if n.Consensus, err = consensus.New(consensus.Config{Environment: n.R, Transport: n.Wire, Members: n.Kin, Store: n.Store, StateMachines: machines}); err != nil {
		return err
	}
	n.Coordination = coordination.NewService(n.R, n.Consensus, n.Stores)
	n.Roll = controlplane.NewTargetRegistry(controlplane.RegistryConfig{Env: n.R, Consensus: n.Consensus, Stores: n.Stores, State: n.Ledger, OnChange: n.stir})
	n.Planner = controlplane.NewPlanner(controlplane.PlannerConfig{Env: n.R, Transport: n.Wire, Members: n.Kin, Consensus: n.Consensus, State: n.Ledger})
	distribution.NewServer(distribution.ServerConfig{
		Environment: n.R,
		Transport:   n.Wire,
		Members:     n.Kin,
		Consensus:   n.Consensus,
		State:       n.Ledger,
		Planner:     n.Planner,
	})
	rpc.Handle(n.Wire, "plan.whose", func(_ context.Context, request *rpc.InstanceLookupRequest) (*rpc.InstanceLookupResponse, error) {
		return &rpc.InstanceLookupResponse{Service: n.Roll.ServiceOf(request.Instance)}, nil
	})
	n.Wire.Handle("plan.stir", func(c *rpc.Request) (any, error) {
		n.Planner.Trigger()
		return struct{}{}, nil
	})
	rpc.Handle(n.Wire, "plan.news", func(ctx context.Context, request *rpc.TargetReportRequest) (*rpc.TargetReportResponse, error) {
		return n.Roll.Report(ctx, request), nil
	})
	return nil
}

func (n *Node) serve(address, key string, handler http.Handler) error {
	listener, err := n.R.Host.Listen(address)
	if err != nil {
		return errcode.New(errcode.BadProps, "%s: %v", key, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second, BaseContext: func(net.Listener) context.Context { return n.R }}
	if key == "gate.address" && n.R.Config.GateWindow > 0 {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			if c, ok := conn.(interface{ SetReadBuffer(int) error }); ok {
				c.SetReadBuffer(n.R.Config.GateWindow)
			}
			return ctx
		}
	}
	n.mu.Lock()
	n.servers = append(n.servers, server)
	n.mu.Unlock()
	n.R.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !n.R.IsStopping() {
			n.R.Events.Say(eventlog.MessageRefused, "cause", err.Error())
		}
	})
	n.R.Go(func() {
		<-n.R.Done()
		server.Close()
	})
	return nil
}

func (n *Node) serveApi() error {
	server, err := api.NewServer(&desk{n}, api.WithErrorHandler(badCall), api.WithNotFound(notFound))
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	return n.serve(n.R.Config.APIAddress, "api.address", http.MaxBytesHandler(n.withMetrics(server), apiMost))
}

// Stop is the planned stop: this node says that it is not ready, and, if it is a
// proxy, serves on for a moment whoever has not heard; then nothing new is taken,
// what was handed over is finished, owned parts are passed on, and the others are
// told.
func (n *Node) Stop() {
	n.R.Events.Say(eventlog.NodeStopping)
	n.isGoing.Store(true)
	ctx, end := context.WithTimeout(n.R, n.R.Config.StopGrace)
	defer end()
	if n.Consensus != nil {
		n.Consensus.TransferLeadership(ctx)
	}
	if n.Gate != nil {
		n.Gate.Drain()
		n.R.Sleep(n.R.Config.GateLinger)
		n.Gate.Stop()
	}
	n.Kin.Leave()
	var all sync.WaitGroup
	n.mu.Lock()
	servers := n.servers
	n.mu.Unlock()
	for _, server := range servers {
		all.Add(1)
		n.R.Go(func() { defer all.Done(); server.Shutdown(ctx) })
	}
	all.Wait()
	if n.Gate != nil {
		n.Gate.Close()
	}
	n.R.Events.Say(eventlog.NodeStopped)
	n.R.Shutdown()
}

// stir tells the owner of the configuration part that there is news of targets.
func (n *Node) stir() {
	if n.Consensus.Replica(ids.ConfigShard).IsServing() {
		n.Planner.Trigger()
		return
	}
	if !n.isStirring.CompareAndSwap(false, true) {
		return
	}
	n.R.Go(func() {
		defer n.isStirring.Store(false)
		if address := n.ownerOf(ids.ConfigShard, 0); address != "" {
			ctx, end := context.WithTimeout(n.R, 500*time.Millisecond)
			defer end()
			n.Wire.Call(ctx, address, "plan.stir", struct{}{}, nil)
		}
	})
}
