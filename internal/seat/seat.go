// Package seat puts one node together: its pipes, its kin, its parts if it has
// a data folder, its gate if it has an address for callers; and it passes calls
// on to the owner of their part, with a bound on hops and on time.
package seat

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/bond"
	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/flow"
	"github.com/sumactrestle/sumactrestle/internal/gate"
	"github.com/sumactrestle/sumactrestle/internal/kin"
	"github.com/sumactrestle/sumactrestle/internal/lore"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/pact"
	"github.com/sumactrestle/sumactrestle/internal/plan"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/sign"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

// apiMost is the largest body of a call, in bytes.
const apiMost = 32 << 20

// Node is one running node.
type Node struct {
	R       *realm.Realm
	Wire    *wire.Wire
	Kin     *kin.Kin
	Store   *lore.Lore
	Pact    *pact.Pact
	Books   []*bond.Book
	Desk    *bond.Desk
	Ledger  *plan.Ledger
	Roll    *plan.Roll
	Planner *plan.Planner
	Flow    *flow.Client
	Gate    *gate.Gate

	servers []*http.Server
	owners  [mark.Parts + 1]atomic.Pointer[string]
	isGoing atomic.Bool
}

// Start brings a node up.
func Start(r *realm.Realm) (*Node, error) {
	n := &Node{R: r, Wire: wire.New(r)}
	p := r.Props
	me := wire.Member{Name: r.Name, Birth: mark.NewBirth(), Wire: p.WireAddress, Api: p.ApiAddress, Gate: p.GateAddress, Zone: p.Zone, Strength: p.Strength}
	if p.WireAdvertise != "" {
		me.Wire = p.WireAdvertise
	}
	if p.DataFolder != "" {
		var err error
		if n.Store, err = lore.Open(r); err != nil {
			return nil, err
		}
		if me.Birth, err = pact.Born(n.Store); err != nil {
			return nil, err
		}
		me.Core, me.Founders = true, p.FoundCores
		if n.Store.IsAfterDamage() {
			me.Founders = 0
		}
	}
	n.Kin = kin.New(r, n.Wire, me)
	n.Wire.IsNear = n.Kin.IsNear
	if me.Core {
		if err := n.openCore(); err != nil {
			return nil, err
		}
	}
	if p.GateAddress != "" {
		n.Flow = flow.NewClient(r, n.Wire, n.Kin)
		n.Gate = gate.New(r, n.Flow, n.Wire, n.Kin, func(ctx context.Context, call *wire.BondOp) (*wire.BondReceipt, error) {
			var receipt wire.BondReceipt
			err := n.pass(ctx, op{mark.PartOf(call.Name), "bond", call}, 0, &receipt)
			return &receipt, err
		})
	}
	n.Wire.Handle("seat.pass", n.passed)
	if err := n.Wire.Open(); err != nil {
		return nil, err
	}
	if err := n.Kin.Open(); err != nil {
		return nil, fault.New(fault.BadProps, "wire.address: %v", err)
	}
	if me.Core {
		n.Pact.Open()
		n.Desk.Open()
		n.Planner.Open()
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
		n.Flow.Open()
		if err := n.serve(p.GateAddress, "gate.address", n.Gate); err != nil {
			return nil, err
		}
	}
	r.Sign.Say(sign.NodeStarted, "birth", string(me.Birth), "core", me.Core, "gate", p.GateAddress)
	return n, nil
}

func (n *Node) openCore() error {
	var machines []pact.Machine
	for range mark.Parts {
		book := bond.NewBook()
		n.Books = append(n.Books, book)
		machines = append(machines, book)
	}
	n.Ledger = plan.NewLedger()
	n.Ledger.Told = func(sheet *plan.Sheet, planned *wire.Planned) {
		change := ""
		if planned.Change != nil {
			change = planned.Change.Id
		}
		n.R.Sign.Say(sign.EpochCommitted, "epoch", uint64(sheet.Epoch), "change", change, "groups", len(planned.Put)+len(planned.Drop))
	}
	machines = append(machines, n.Ledger)
	var err error
	if n.Pact, err = pact.New(n.R, n.Wire, n.Kin, n.Store, machines); err != nil {
		return err
	}
	n.Desk = bond.NewDesk(n.R, n.Pact, n.Books)
	n.Roll = plan.NewRoll(n.R, n.Pact, n.Books, n.Ledger)
	n.Planner = plan.NewPlanner(n.R, n.Wire, n.Kin, n.Pact, n.Ledger)
	flow.NewServer(n.R, n.Wire, n.Kin, n.Pact, n.Ledger, n.Planner).HandleOwner()
	n.Wire.Handle("plan.news", func(c *wire.Call) (any, error) {
		var ask wire.NewsAsk
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		return n.Roll.News(c, &ask), nil
	})
	return nil
}

func (n *Node) serve(address, key string, handler http.Handler) error {
	listener, err := n.R.Net.Listen(address)
	if err != nil {
		return fault.New(fault.BadProps, "%s: %v", key, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second, BaseContext: func(net.Listener) context.Context { return n.R }}
	n.servers = append(n.servers, server)
	n.R.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !n.R.IsOver() {
			n.R.Sign.Say(sign.MessageRefused, "cause", err.Error())
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
		return fault.New(fault.Internal, "%v", err)
	}
	return n.serve(n.R.Props.ApiAddress, "api.address", http.MaxBytesHandler(server, apiMost))
}

// Stop is the planned stop: nothing new is taken, what was handed over is
// finished, owned parts are passed on, and the others are told.
func (n *Node) Stop() {
	n.R.Sign.Say(sign.NodeStopping)
	n.isGoing.Store(true)
	ctx, end := context.WithTimeout(n.R, n.R.Props.StopGrace)
	defer end()
	if n.Gate != nil {
		n.Gate.Stop()
	}
	if n.Pact != nil {
		n.Pact.HandOver(ctx)
	}
	n.Kin.Leave()
	for _, server := range n.servers {
		server.Shutdown(ctx)
	}
	if n.Gate != nil {
		n.Gate.Close()
	}
	n.R.Sign.Say(sign.NodeStopped)
	n.R.End()
}

// op is one call that belongs to a part.
type op struct {
	part mark.Part
	name string
	body any
}

// pass carries an op out here, if the part is owned here, or passes it on.
// Until the deadline it looks for the owner again, as long as the op is known
// not to have run.
func (n *Node) pass(ctx context.Context, o op, hops int, into any) error {
	raw, err := json.Marshal(o.body)
	if err != nil {
		return fault.New(fault.Internal, "%v", err)
	}
	var problem error
	for try := 0; ctx.Err() == nil; try++ {
		if n.Pact != nil && n.Pact.Part(o.part).IsServing() {
			got, err := n.do(ctx, o.part, o.name, raw)
			if err == nil {
				return recast(got, into)
			}
			problem = err
		} else if address := n.ownerOf(o.part, try); address != "" {
			var receipt wire.PassReceipt
			err := n.Wire.AskHop(ctx, address, "seat.pass", hops+1, &wire.PassAsk{Part: o.part, Op: o.name, Body: raw}, &receipt)
			if err == nil {
				n.owners[o.part].Store(&address)
				return json.Unmarshal(receipt.Body, into)
			}
			n.owners[o.part].Store(nil)
			problem = err
		}
		if problem == nil {
			problem = fault.New(fault.NoOwner, "part %d", o.part)
		}
		if hops > 0 || !isRetryable(problem) {
			return problem
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(time.Duration(try+1)*20*time.Millisecond, 150*time.Millisecond)):
		}
	}
	if problem == nil {
		problem = fault.New(fault.NoOwner, "part %d", o.part)
	}
	return problem
}

// isRetryable is true only for what certainly did not run.
func isRetryable(err error) bool {
	for _, code := range []fault.Code{fault.NotOwner, fault.NoOwner, fault.Unreached, fault.TooManyHops, fault.Stopping} {
		if fault.Is(err, code) {
			return true
		}
	}
	return false
}

// ownerOf is where to send an op: the known owner, or a core node in turn.
func (n *Node) ownerOf(no mark.Part, try int) string {
	if n.Pact != nil {
		if name, ok := n.Pact.Owner(no); ok && name != n.R.Name {
			if m, ok := n.Kin.Of(name); ok {
				return m.Wire
			}
		}
	}
	if known := n.owners[no].Load(); known != nil {
		return *known
	}
	var cores []wire.Member
	for _, m := range n.Kin.Cores() {
		if m.Name != n.R.Name {
			cores = append(cores, m)
		}
	}
	if len(cores) == 0 {
		return ""
	}
	return cores[try%len(cores)].Wire
}

func (n *Node) passed(c *wire.Call) (any, error) {
	var ask wire.PassAsk
	if err := c.Read(&ask); err != nil {
		return nil, err
	}
	if ask.Part < 0 || ask.Part > mark.Config {
		return nil, fault.New(fault.BadMessage, "no part %d", ask.Part)
	}
	if c.Hops > wire.Hops {
		return nil, fault.New(fault.TooManyHops, "%d", c.Hops)
	}
	var body json.RawMessage
	if err := n.pass(c, op{ask.Part, ask.Op, ask.Body}, c.Hops, &body); err != nil {
		return nil, err
	}
	return &wire.PassReceipt{Body: body}, nil
}

// do carries an op out at the owner.
func (n *Node) do(ctx context.Context, no mark.Part, name string, raw json.RawMessage) (any, error) {
	read := func(into any) error {
		if err := json.Unmarshal(raw, into); err != nil {
			return fault.New(fault.BadMessage, "%s: %v", name, err)
		}
		return nil
	}
	switch name {
	case "beat":
		var beat wire.Beat
		if err := read(&beat); err != nil {
			return nil, err
		}
		return struct{}{}, n.Roll.Take(ctx, &beat)
	case "bond":
		var call wire.BondOp
		if err := read(&call); err != nil {
			return nil, err
		}
		return n.Desk.Do(ctx, &call)
	case "submit":
		var change wire.Change
		if err := read(&change); err != nil {
			return nil, err
		}
		return n.Planner.Submit(ctx, &change)
	case "change":
		var id string
		if err := read(&id); err != nil {
			return nil, err
		}
		return n.Planner.AskChange(ctx, id)
	case "epoch":
		return n.Planner.View(ctx)
	}
	return nil, fault.New(fault.UnknownKind, "%q", name)
}

// recast turns one shape of data into another that is written the same.
func recast(from, into any) error {
	raw, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		return fault.New(fault.Internal, "%v", err)
	}
	return nil
}
