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

type lease struct {
	token     ids.Index
	expiresAt time.Time
	revoking  bool
	revoked   chan struct{}
}

// Service is one core node's.
type Service struct {
	ages     [ids.ShardCount][]ageSample
	env      *environment.Environment
	replicas *consensus.Node
	stores   []*Store

	mu     sync.Mutex
	terms  map[ids.Shard]ids.Term
	leases map[ids.Shard]map[string]*lease

	batches map[ids.Shard]*idempotencyBatch
}

func NewService(r *environment.Environment, p *consensus.Node, books []*Store) *Service {
	return &Service{env: r, replicas: p, stores: books, terms: map[ids.Shard]ids.Term{}, leases: map[ids.Shard]map[string]*lease{}, batches: map[ids.Shard]*idempotencyBatch{}}
}

// Start starts to watch over the grants.
func (d *Service) Start() {
	d.env.Go(func() {
		for i := 0; d.env.Sleep(100 * time.Millisecond); i++ {
			for no := range d.stores {
				d.expireLeases(ids.Shard(no))
				if i%100 == 0 {
					d.expireIdempotencyRecords(ids.Shard(no))
				}
			}
		}
	})
}

// Handle carries out one call on a part owned here.
func (d *Service) Handle(ctx context.Context, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if problem := validate(op); problem != nil {
		return nil, problem
	}
	no := ids.ShardOf(op.Name)
	part, book := d.replicas.Replica(no), d.stores[no]
	switch op.Operation {
	case "get", "list", "watch", "follow", "renew":
		began := d.env.Now()
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
			keys, stamp := book.List(KindKey, op.Name)
			return &rpc.CoordinationResponse{Index: stamp, Records: keys}, nil
		case "watch":
			return d.watch(ctx, part, book, op)
		case "follow":
			return d.follow(ctx, part, book, op)
		}
		return d.renew(ctx, no, term, op)
	case "claim":
		return d.reserve(ctx, no, op)
	case "acquire":
		return d.acquire(ctx, no, op)
	}
	return d.propose(ctx, no, op)
}

func (d *Service) propose(ctx context.Context, no ids.Shard, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	_, receipt, err := d.replicas.Replica(no).Propose(ctx, op)
	if err != nil {
		return nil, err
	}
	got, ok := receipt.(*rpc.CoordinationResponse)
	if !ok {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	return got, nil
}

func validate(op *rpc.CoordinationRequest) error {
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

func (d *Service) get(book *Store, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	kind := KindKey
	if op.Holder != "" {
		kind = op.Holder
	}
	record, ok := book.Get(kind, op.Name)
	if !ok && kind == KindCounter {
		return &rpc.CoordinationResponse{}, nil
	}
	if !ok {
		return &rpc.CoordinationResponse{Code: errcode.NoKey.No}, nil
	}
	return &rpc.CoordinationResponse{Index: record.Index, Revision: record.Revision, Value: record.Value, Count: record.Count, Holder: record.Holder, FencingToken: record.FencingToken, TTL: record.TTL}, nil
}

// leasesOf returns the grants of the part for this term, emptied at a new one; nil
// if a newer one has begun.
func (d *Service) leasesOf(no ids.Shard, term ids.Term) map[string]*lease {
	if term.Less(d.terms[no]) {
		return nil
	}
	if d.terms[no] != term || d.leases[no] == nil {
		d.terms[no], d.leases[no] = term, map[string]*lease{}
	}
	return d.leases[no]
}

// lease is the grant of a lock as the book has it while d.mu is held; one that this
// owner sees for the first time starts at full length.
func (d *Service) lease(grants map[string]*lease, lock rpc.CoordinationRecord) *lease {
	if g := grants[lock.Name]; g == nil || g.token != lock.FencingToken {
		grants[lock.Name] = &lease{token: lock.FencingToken, expiresAt: d.env.Now().Add(time.Duration(lock.TTL) * time.Millisecond)}
	}
	return grants[lock.Name]
}

// acquire writes nothing while another's grant lasts, and has one whose time is
// over taken back first.
func (d *Service) acquire(ctx context.Context, no ids.Shard, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	began, part, book := d.env.Now(), d.replicas.Replica(no), d.stores[no]
	_, isRepeat := book.ResponseTo(op.ID)
	for !isRepeat {
		term, _, isServing := part.LeadershipSince()
		if !isServing {
			return nil, errcode.New(errcode.NotOwner, "part %d", no)
		}
		if lock, ok := book.Get(KindLock, op.Name); !ok || lock.Holder == op.Holder {
			break
		}
		if err := part.ConfirmLeadership(ctx, began); err != nil {
			return nil, err
		}
		held, going := d.conflict(no, term, op)
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
		if ctx.Err() != nil || d.env.IsStopping() {
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

// conflict is the refusal while another holds the lock, or else what ends when
// its grant has been taken back.
func (d *Service) conflict(no ids.Shard, term ids.Term, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	grants := d.leasesOf(no, term)
	lock, ok := d.stores[no].Get(KindLock, op.Name)
	if grants == nil || !ok || lock.Holder == op.Holder {
		return nil, nil
	}
	if g := d.lease(grants, lock); g.revoking || !d.env.Now().Before(g.expiresAt) {
		return nil, d.revoke(no, term, lock, g)
	}
	return &rpc.CoordinationResponse{Code: errcode.Held.No, Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: lock.TTL}, nil
}

// renew extends the grant; a time above the lock's own is written first, so that
// a new owner does not end the grant early.
func (d *Service) renew(ctx context.Context, no ids.Shard, term ids.Term, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	record, ok := d.stores[no].Get(KindLock, op.Name)
	if !ok || record.Holder != op.Holder || record.FencingToken != op.FencingToken {
		return &rpc.CoordinationResponse{Code: errcode.NotHeld.No, FencingToken: record.FencingToken}, nil
	}
	if now, _, isServing := d.replicas.Replica(no).LeadershipSince(); !isServing || now != term {
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
func (d *Service) extend(no ids.Shard, name string, fence ids.Index, ttl int64) (*rpc.CoordinationResponse, error) {
	term, _, isServing := d.replicas.Replica(no).LeadershipSince()
	if !isServing {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	grants := d.leasesOf(no, term)
	if grants == nil {
		return nil, errcode.New(errcode.Unsure, "part %d", no)
	}
	lock, ok := d.stores[no].Get(KindLock, name)
	if !ok || lock.FencingToken != fence {
		return &rpc.CoordinationResponse{Code: errcode.NotHeld.No, FencingToken: fence}, nil
	}
	g := d.lease(grants, lock)
	if g.revoking {
		return &rpc.CoordinationResponse{Code: errcode.NotHeld.No, FencingToken: fence}, nil
	}
	if until := d.env.Now().Add(time.Duration(ttl) * time.Millisecond); until.After(g.expiresAt) {
		g.expiresAt = until
	}
	return &rpc.CoordinationResponse{FencingToken: fence, TTL: ttl, Index: fence}, nil
}

// revoke has a grant taken back, by one entry at a time; the grant can't be renewed
// from then on, also if the entry has to be tried again.
func (d *Service) revoke(no ids.Shard, term ids.Term, lock rpc.CoordinationRecord, g *lease) <-chan struct{} {
	g.revoking = true
	if g.revoked != nil {
		return g.revoked
	}
	done := make(chan struct{})
	g.revoked = done
	d.env.Go(func() {
		ctx, end := context.WithTimeout(d.env, 5*time.Second)
		defer end()
		if now, _, isServing := d.replicas.Replica(no).LeadershipSince(); isServing && now == term {
			d.replicas.Replica(no).Propose(ctx, &rpc.CoordinationRequest{Operation: "expire", Name: lock.Name, FencingToken: lock.FencingToken})
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		g.revoked = nil
		close(done)
	})
	return done
}

// expireLeases takes back the grants of a part whose time is over, and forgets those
// whose locks are gone.
func (d *Service) expireLeases(no ids.Shard) {
	term, _, isServing := d.replicas.Replica(no).LeadershipSince()
	if !isServing {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stores[no].Len(KindLock) == 0 {
		clear(d.leases[no])
		return
	}
	grants := d.leasesOf(no, term)
	if grants == nil {
		return
	}
	locks, _ := d.stores[no].List(KindLock, "")
	for _, lock := range locks {
		if g := d.lease(grants, lock); g.revoking || !d.env.Now().Before(g.expiresAt) {
			d.revoke(no, term, lock, g)
		}
	}
	if len(grants) == len(locks) {
		return
	}
	for name := range grants {
		if _, ok := d.stores[no].Get(KindLock, name); !ok {
			delete(grants, name)
		}
	}
}
