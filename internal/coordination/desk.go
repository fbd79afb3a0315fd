// The Desk serves coordination calls for the parts this node owns. Reads wait
// for a majority's word given since they came in. Grants run on the owner's
// monotonic clock and start anew at full length under a new owner; a grant that
// is being taken back can't be renewed any more.
package coordination

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

type grant struct {
	fence     ids.Index
	until     time.Time
	isGoingBy bool
	going     chan struct{}
}

// Desk is one core node's.
type Desk struct {
	past  [ids.ShardCount][]moment
	r     *environment.Environment
	p     *consensus.Node
	books []*Book

	mu     sync.Mutex
	terms  map[ids.Shard]ids.Term
	grants map[ids.Shard]map[string]*grant

	gathered map[ids.Shard]*gathering
}

func NewDesk(r *environment.Environment, p *consensus.Node, books []*Book) *Desk {
	return &Desk{r: r, p: p, books: books, terms: map[ids.Shard]ids.Term{}, grants: map[ids.Shard]map[string]*grant{}, gathered: map[ids.Shard]*gathering{}}
}

// Open starts to watch over the grants.
func (d *Desk) Open() {
	d.r.Go(func() {
		for i := 0; d.r.Sleep(100 * time.Millisecond); i++ {
			for no := range d.books {
				d.expire(ids.Shard(no))
				if i%100 == 0 {
					d.sweep(ids.Shard(no))
				}
			}
		}
	})
}

// Do carries out one call on a part owned here.
func (d *Desk) Do(ctx context.Context, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if problem := check(op); problem != nil {
		return nil, problem
	}
	no := ids.ShardOf(op.Name)
	part, book := d.p.Replica(no), d.books[no]
	switch op.Operation {
	case "get", "list", "watch", "follow", "renew":
		began := d.r.Now()
		term, _, isServing := part.LeadershipSince()
		if !isServing {
			return nil, errcode.New(errcode.NotOwner, "part %d", no)
		}
		if err := part.ConfirmLeadership(ctx, began); err != nil {
			return nil, err
		}
		switch op.Operation {
		case "get":
			return d.get(book, op)
		case "list":
			keys, stamp := book.All(Key, op.Name)
			return &rpc.CoordinationResponse{Index: stamp, Records: keys}, nil
		case "watch":
			return d.watch(ctx, part, book, op)
		case "follow":
			return d.follow(ctx, part, book, op)
		}
		return d.renew(ctx, no, term, op)
	case "claim":
		return d.claim(ctx, no, op)
	case "acquire":
		return d.acquire(ctx, no, op)
	}
	return d.propose(ctx, no, op)
}

func (d *Desk) propose(ctx context.Context, no ids.Shard, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	_, receipt, err := d.p.Replica(no).Propose(ctx, op)
	if err != nil {
		return nil, err
	}
	got, ok := receipt.(*rpc.CoordinationResponse)
	if !ok {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	return got, nil
}

func check(op *rpc.CoordinationRequest) error {
	var paths []string
	if op.Name == "" || len(op.Name) > 512 {
		paths = append(paths, "name: is missing or longer than 512 bytes")
	}
	if len(op.Value) > 64<<10 {
		paths = append(paths, "value: is larger than 64 KiB")
	}
	isTimed := op.TTL >= 10 && op.TTL <= 3600_000
	space, rest, hasSlash := strings.Cut(op.Name, "/")
	switch op.Operation {
	case "get", "list", "watch", "put", "drop", "mark", "unmark", "expire", "claim", "unclaim", "settle":
	case "add":
	case "set":
		if space == "" || rest == "" {
			paths = append(paths, "name: is not of the form space/rest")
		}
		if len(op.Value) == 0 {
			paths = append(paths, "value: is missing")
		}
	case "follow":
		if space == "" || !hasSlash || rest != "" {
			paths = append(paths, "name: is not of the form space/")
		}
	case "acquire":
		if op.Holder == "" {
			paths = append(paths, "holder: is missing")
		}
		if !isTimed {
			paths = append(paths, "ttl: is outside 10 ms to 1 h")
		}
	case "release", "renew":
		if op.Holder == "" || op.FencingToken == 0 {
			paths = append(paths, "holder, fence: are missing")
		}
		if op.Operation == "renew" && op.TTL != 0 && !isTimed {
			paths = append(paths, "ttl: is outside 10 ms to 1 h")
		}
	default:
		paths = append(paths, "op: "+op.Operation+" is not known")
	}
	if len(paths) > 0 {
		return errcode.At(errcode.BadCall, paths)
	}
	return nil
}

func (d *Desk) get(book *Book, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	kind := Key
	if op.Holder != "" {
		kind = op.Holder
	}
	record, ok := book.Get(kind, op.Name)
	if !ok && kind == Count {
		return &rpc.CoordinationResponse{}, nil
	}
	if !ok {
		return &rpc.CoordinationResponse{Code: errcode.NoKey.No}, nil
	}
	return &rpc.CoordinationResponse{Index: record.Index, Revision: record.Revision, Value: record.Value, Count: record.Count, Holder: record.Holder, FencingToken: record.FencingToken, TTL: record.TTL}, nil
}

// under returns the grants of the part for this term, emptied at a new one; nil
// if a newer one has begun.
func (d *Desk) under(no ids.Shard, term ids.Term) map[string]*grant {
	if term.Less(d.terms[no]) {
		return nil
	}
	if d.terms[no] != term || d.grants[no] == nil {
		d.terms[no], d.grants[no] = term, map[string]*grant{}
	}
	return d.grants[no]
}

// see is the grant of a lock as the book has it while d.mu is held; one that this
// owner sees for the first time starts at full length.
func (d *Desk) see(grants map[string]*grant, lock rpc.CoordinationRecord) *grant {
	if g := grants[lock.Name]; g == nil || g.fence != lock.FencingToken {
		grants[lock.Name] = &grant{fence: lock.FencingToken, until: d.r.Now().Add(time.Duration(lock.TTL) * time.Millisecond)}
	}
	return grants[lock.Name]
}

// acquire writes nothing while another's grant lasts, and has one whose time is
// over taken back first.
func (d *Desk) acquire(ctx context.Context, no ids.Shard, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	began, part, book := d.r.Now(), d.p.Replica(no), d.books[no]
	_, isRepeat := book.Seen(op.ID)
	for !isRepeat {
		term, _, isServing := part.LeadershipSince()
		if !isServing {
			return nil, errcode.New(errcode.NotOwner, "part %d", no)
		}
		if lock, ok := book.Get(Lock, op.Name); !ok || lock.Holder == op.Holder {
			break
		}
		if err := part.ConfirmLeadership(ctx, began); err != nil {
			return nil, err
		}
		held, going := d.holding(no, term, op)
		if held != nil {
			return held, nil
		}
		if going == nil {
			continue
		}
		select {
		case <-going:
		case <-ctx.Done():
		}
		if ctx.Err() != nil || d.r.IsStopping() {
			return nil, errcode.New(errcode.NoOwner, "part %d: the old grant can't be taken back", no)
		}
	}
	got, err := d.propose(ctx, no, op)
	if err != nil || got.Code != 0 {
		return got, err
	}
	renewed, err := d.extend(no, op.Name, got.FencingToken, got.TTL)
	if err != nil || renewed.Code != 0 {
		return renewed, err
	}
	return got, nil
}

// holding is the refusal while another holds the lock, or else what ends when
// its grant has been taken back.
func (d *Desk) holding(no ids.Shard, term ids.Term, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	grants := d.under(no, term)
	lock, ok := d.books[no].Get(Lock, op.Name)
	if grants == nil || !ok || lock.Holder == op.Holder {
		return nil, nil
	}
	if g := d.see(grants, lock); g.isGoingBy || !d.r.Now().Before(g.until) {
		return nil, d.goBy(no, term, lock, g)
	}
	return &rpc.CoordinationResponse{Code: errcode.Held.No, Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: lock.TTL}, nil
}

// renew extends the grant; a time above the lock's own is written first, so that
// a new owner does not end the grant early.
func (d *Desk) renew(ctx context.Context, no ids.Shard, term ids.Term, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	record, ok := d.books[no].Get(Lock, op.Name)
	if !ok || record.Holder != op.Holder || record.FencingToken != op.FencingToken {
		return &rpc.CoordinationResponse{Code: errcode.NotHeld.No, FencingToken: record.FencingToken}, nil
	}
	if now, _, isServing := d.p.Replica(no).LeadershipSince(); !isServing || now != term {
		return nil, errcode.New(errcode.NotOwner, "part %d", no)
	}
	ttl := op.TTL
	if ttl == 0 {
		ttl = record.TTL
	}
	if ttl > record.TTL {
		if got, err := d.extend(no, op.Name, op.FencingToken, record.TTL); err != nil || got.Code != 0 {
			return got, err
		}
		stretch := &rpc.CoordinationRequest{Operation: "stretch", Name: op.Name, Holder: op.Holder, FencingToken: op.FencingToken, TTL: ttl}
		if got, err := d.propose(ctx, no, stretch); err != nil || got.Code != 0 {
			return got, err
		}
	}
	return d.extend(no, op.Name, op.FencingToken, ttl)
}

// extend makes the grant last, unless it has passed meanwhile; it is never cut
// shorter than an earlier call made it.
func (d *Desk) extend(no ids.Shard, name string, fence ids.Index, ttl int64) (*rpc.CoordinationResponse, error) {
	term, _, isServing := d.p.Replica(no).LeadershipSince()
	if !isServing {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	grants := d.under(no, term)
	if grants == nil {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	lock, ok := d.books[no].Get(Lock, name)
	if !ok || lock.FencingToken != fence {
		return &rpc.CoordinationResponse{Code: errcode.NotHeld.No, FencingToken: fence}, nil
	}
	g := d.see(grants, lock)
	if g.isGoingBy {
		return &rpc.CoordinationResponse{Code: errcode.NotHeld.No, FencingToken: fence}, nil
	}
	if until := d.r.Now().Add(time.Duration(ttl) * time.Millisecond); until.After(g.until) {
		g.until = until
	}
	return &rpc.CoordinationResponse{FencingToken: fence, TTL: ttl, Index: fence}, nil
}

// goBy has a grant taken back, by one entry at a time; the grant can't be renewed
// from then on, also if the entry has to be tried again.
func (d *Desk) goBy(no ids.Shard, term ids.Term, lock rpc.CoordinationRecord, g *grant) <-chan struct{} {
	g.isGoingBy = true
	if g.going != nil {
		return g.going
	}
	done := make(chan struct{})
	g.going = done
	d.r.Go(func() {
		ctx, end := context.WithTimeout(d.r, 5*time.Second)
		defer end()
		if now, _, isServing := d.p.Replica(no).LeadershipSince(); isServing && now == term {
			d.p.Replica(no).Propose(ctx, &rpc.CoordinationRequest{Operation: "expire", Name: lock.Name, FencingToken: lock.FencingToken})
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		g.going = nil
		close(done)
	})
	return done
}

// expire takes back the grants of a part whose time is over, and forgets those
// whose locks are gone.
func (d *Desk) expire(no ids.Shard) {
	term, _, isServing := d.p.Replica(no).LeadershipSince()
	if !isServing {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.books[no].Size(Lock) == 0 {
		clear(d.grants[no])
		return
	}
	grants := d.under(no, term)
	if grants == nil {
		return
	}
	locks, _ := d.books[no].All(Lock, "")
	for _, lock := range locks {
		if g := d.see(grants, lock); g.isGoingBy || !d.r.Now().Before(g.until) {
			d.goBy(no, term, lock, g)
		}
	}
	if len(grants) == len(locks) {
		return
	}
	for name := range grants {
		if _, ok := d.books[no].Get(Lock, name); !ok {
			delete(grants, name)
		}
	}
}
