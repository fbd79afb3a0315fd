// Package consensus keeps the replicated parts. Each part has a log, a group of
// members and an owner of its own; nothing stands over the parts. An owner
// stands under a term, a majority's synced promises make it owner, a majority's
// synced entries make a write, and a majority's word that nobody stands higher
// makes a read. Members are told apart by birth, so an empty disk has no vote.
package consensus

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// Machine is what a part's entries are folded into. Apply must come out the
// same on every member; the receipt goes to whoever proposed the entry.
type Machine interface {
	Apply(index ids.Stamp, body json.RawMessage) any
	// Capture takes hold of the state as it is now; what it returns writes it out, while
	// further entries are applied.
	Capture() func() (json.RawMessage, error)
	Load(state json.RawMessage) error
}

// Node is all the parts of one core node.
type Node struct {
	r     *environment.Realm
	w     *rpc.Wire
	k     *membership.Kin
	store *storage.Store
	me    rpc.Peer
	parts []*Part

	mu        sync.Mutex
	charter   *rpc.Charter
	pledge    ids.Term
	owners    map[ids.Part]claimed
	rounds    map[rpc.Peer]*heartbeater
	claimSets map[rpc.Peer]claimSet
	isBusy    map[ids.Part]bool
	isGoing   bool
	started   time.Time
	isAsking  atomic.Bool                // whether to stand
	transfers map[rpc.Peer]chan struct{} // of snapshots, one at a time to each member
	Ready     chan struct{}
}

type claimed struct {
	name ids.Name
	term ids.Term
	at   time.Time
}

// Born reads the birth from the store, or makes one for an empty store.
func Born(store *storage.Store) (ids.Birth, error) {
	raw, err := store.Get("birth")
	if err != nil {
		return "", err
	}
	if raw != nil {
		return ids.Birth(raw), nil
	}
	birth := ids.NewBirth()
	w := store.Begin()
	w.Put("birth", []byte(birth))
	store.Hand(w)
	return birth, w.Wait()
}

func New(r *environment.Realm, w *rpc.Wire, k *membership.Kin, store *storage.Store, machines []Machine) (*Node, error) {
	me := k.Me()
	p := &Node{r: r, w: w, k: k, store: store, me: rpc.Peer{Name: me.Name, Birth: me.Birth},
		owners: map[ids.Part]claimed{}, rounds: map[rpc.Peer]*heartbeater{}, claimSets: map[rpc.Peer]claimSet{}, isBusy: map[ids.Part]bool{}, transfers: map[rpc.Peer]chan struct{}{}, started: r.Now(), Ready: make(chan struct{})}
	for no, machine := range machines {
		p.parts = append(p.parts, newPart(p, ids.Part(no), machine))
	}
	if err := p.load(); err != nil {
		return nil, err
	}
	handle(w, "pact.promise", func(c *rpc.Call, ask *rpc.PromiseAsk) (any, error) {
		part, err := p.openPart(ask.Part)
		if err != nil {
			return nil, err
		}
		return part.promise(ask)
	})
	handle(w, "pact.prevote", func(c *rpc.Call, ask *rpc.PrevoteAsk) (any, error) { return p.answerPrevote(ask), nil })
	handle(w, "pact.append", func(c *rpc.Call, ask *rpc.AppendAsk) (any, error) {
		part, err := p.openPart(ask.Part)
		if err != nil {
			return nil, err
		}
		return part.accept(ask)
	})
	handle(w, "pact.chunk", func(c *rpc.Call, ask *rpc.ChunkAsk) (any, error) {
		part, err := p.openPart(ask.Part)
		if err != nil {
			return nil, err
		}
		return part.acceptChunk(ask)
	})
	handle(w, "pact.round", func(c *rpc.Call, ask *rpc.RoundAsk) (any, error) { return p.answerHeartbeat(ask), nil })
	handle(w, "pact.invite", func(c *rpc.Call, ask *rpc.InviteAsk) (any, error) {
		part, err := p.part(ask.Part)
		if err != nil {
			return nil, err
		}
		if !part.isInvitedBy(ask) {
			return nil, errcode.New(errcode.NotOwner, "part %d: the invitation is of an old term", ask.Part)
		}
		p.r.Go(func() { part.campaign(true) })
		return struct{}{}, nil
	})
	p.openRepair()
	handle(w, "pact.found", func(c *rpc.Call, ask *rpc.FoundAsk) (any, error) { return p.found(ask) })
	handle(w, "pact.charter", func(c *rpc.Call, ask *struct{}) (any, error) {
		if charter := p.Charter(); charter != nil {
			return charter, nil
		}
		return nil, errcode.New(errcode.NoOwner, "no charter here")
	})
	return p, nil
}

// handle reads the ask before the verb sees it.
func handle[T any](w *rpc.Wire, kind string, verb func(*rpc.Call, *T) (any, error)) {
	w.Handle(kind, func(c *rpc.Call) (any, error) {
		var ask T
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		return verb(c, &ask)
	})
}

func (p *Node) part(no ids.Part) (*Part, error) {
	if no < 0 || int(no) >= len(p.parts) {
		return nil, errcode.New(errcode.BadMessage, "no part %d", no)
	}
	return p.parts[no], nil
}

// stallTime is for how long a write may take before this node gives up what it owns
// and takes no more from others: it has no vote that it can't sync.
const stallTime = time.Second

// openPart is a part of a fleet whose charter is open here. Before that this node has
// no vote: the charter may yet be given up for another.
func (p *Node) openPart(no ids.Part) (*Part, error) {
	part, err := p.part(no)
	if err == nil && p.Charter() == nil {
		err = errcode.New(errcode.NotOwner, "part %d: no charter is open here", no)
	}
	if err == nil && p.store.Stalled() > stallTime {
		err = errcode.New(errcode.StorageBroken, "part %d: the disk takes nothing", no)
	}
	return part, err
}

// Part is one of the parts; the number is known to be right.
func (p *Node) Part(no ids.Part) *Part { return p.parts[no] }

// Parts is all of them.
func (p *Node) Parts() []*Part { return p.parts }

func (p *Node) load() error {
	raw, err := p.store.Get("charter")
	if err != nil {
		return err
	}
	if raw != nil {
		charter := &rpc.Charter{}
		if err := json.Unmarshal(raw, charter); err != nil {
			return errcode.New(errcode.StorageBroken, "charter: %v", err)
		}
		p.charter, p.pledge = charter, charter.Round
	}
	if raw, err = p.store.Get("pledge"); err != nil {
		return err
	}
	if raw != nil {
		if err := json.Unmarshal(raw, &p.pledge); err != nil {
			return errcode.New(errcode.StorageBroken, "pledge: %v", err)
		}
	}
	for _, part := range p.parts {
		if err := part.load(); err != nil {
			return err
		}
	}
	if p.charter != nil && p.charter.Open {
		p.enter(p.charter)
	}
	return nil
}

// Open starts the tasks; kin and wire are open already.
func (p *Node) Open() {
	p.r.Go(p.supervise)
	p.r.Go(p.prevotes)
	p.r.Go(p.repair)
}

// Charter is the open charter, or nil.
func (p *Node) Charter() *rpc.Charter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.charter == nil || !p.charter.Open {
		return nil
	}
	return p.charter
}

// Owner is who last claimed a part, as far as this node heard.
func (p *Node) Owner(no ids.Part) (ids.Name, bool) {
	if p.parts[no].IsOwner() {
		return p.r.Name, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.owners[no]
	return c.name, ok && p.r.Since(c.at) < p.r.Props.PactContact
}

// HasContact tells whether this node knows of late that a majority follows a part's
// owner: as the owner by the word of the others, else by the word of the owner, which
// gives the part up when it has none of a majority. A node without contact may hold
// old state and not know it, so it gives nothing out.
func (p *Node) HasContact(no ids.Part) bool {
	if age, isServing := p.parts[no].Age(); isServing {
		return age < p.r.Props.PactContact
	}
	name, isKnown := p.Owner(no)
	return isKnown && name != p.r.Name
}

// HasLostContact tells whether contact is lost for so long that a call is better
// taken to another node than held until it is back.
func (p *Node) HasLostContact(no ids.Part) bool {
	if p.HasContact(no) {
		return false
	}
	p.mu.Lock()
	last := p.owners[no].at
	p.mu.Unlock()
	if last.Before(p.started) {
		last = p.started
	}
	return p.r.Since(last) > p.r.Props.PactContact
}

// supervise is the slow hand: founding, rounds to new peers, standing, membership.
func (p *Node) supervise() {
	isNext := 0
	for p.r.Pause(environment.Jitter(100 * time.Millisecond)) {
		if p.Charter() == nil {
			p.seekCharter()
			continue
		}
		p.keepHeartbeats()
		p.showKeeping()
		isStalled := p.store.Stalled() > stallTime
		var due []*Part
		for _, part := range p.parts {
			if isStalled {
				part.yield("disk stalls")
				continue
			}
			part.checkMajority()
			if part.isElectionDue() {
				due = append(due, part)
			}
		}
		p.campaignFor(due)
		if isNext++; isNext%5 == 0 && !p.IsGoing() {
			for _, part := range p.parts {
				if part.IsServing() {
					p.once(part.no, part.superviseGroup)
				}
			}
		}
	}
}

// showKeeping lets others know whether this node holds the configuration part, for
// only such a node can tell proxies of it.
func (p *Node) showKeeping() {
	t := p.parts[ids.Config]
	t.mu.Lock()
	keeps := t.voters.Holds(p.me)
	t.mu.Unlock()
	if p.k.Me().Keeps != keeps {
		p.k.Amend(func(m *rpc.Member) { m.Keeps = keeps })
	}
}

// once runs a task for a part unless one is under way.
func (p *Node) once(no ids.Part, task func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isBusy[no] {
		return
	}
	p.isBusy[no] = true
	p.r.Go(func() {
		task()
		p.mu.Lock()
		p.isBusy[no] = false
		p.mu.Unlock()
	})
}

func (p *Node) IsGoing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isGoing
}

// HandOver passes all owned parts on, for a planned stop.
func (p *Node) HandOver(ctx context.Context) {
	p.mu.Lock()
	p.isGoing = true
	p.mu.Unlock()
	var all sync.WaitGroup
	for _, part := range p.parts {
		if part.IsServing() {
			all.Add(1)
			p.r.Go(func() {
				defer all.Done()
				part.handOver(ctx)
			})
		}
	}
	all.Wait()
	p.awaitOthers(ctx)
}

// A node that goes stays a voter for this share of its time to stop, as long as the
// others would be no majority without it.
const awaitShare = 0.6

// awaitOthers waits until the other live members decide in every part without this
// one, or until the time for it is over.
func (p *Node) awaitOthers(ctx context.Context) {
	began, longest := p.r.Now(), time.Duration(awaitShare*float64(p.r.Props.StopGrace))
	for ctx.Err() == nil && p.r.Since(began) < longest && p.isNeeded() {
		if !p.r.Pause(50 * time.Millisecond) {
			return
		}
	}
}

// isNeeded tells whether some part has no majority of members beside this node that
// are live and not even suspected.
func (p *Node) isNeeded() bool {
	view := p.k.View()
	for _, t := range p.parts {
		t.mu.Lock()
		voters := t.voters
		t.mu.Unlock()
		var others []rpc.Peer
		for _, peer := range voters.All() {
			m := view[peer.Name]
			if peer != p.me && m.Birth == peer.Birth && m.State == membership.Alive {
				others = append(others, peer)
			}
		}
		if voters.Holds(p.me) && !voters.IsDecidedBy(others) {
			return true
		}
	}
	return false
}

func (p *Node) say(e eventlog.Event, pairs ...any) { p.r.Sign.Say(e, pairs...) }
