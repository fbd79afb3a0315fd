// The Desk serves coordination calls for the parts this node owns. Reads wait
// for a majority's word given since they came in. Grants run on the owner's
// monotonic clock and start anew at full length under a new owner; a grant that
// is being taken back can't be renewed any more.
package bond

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/pact"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

type grant struct {
	fence     mark.Stamp
	until     time.Time
	isGoingBy bool
}

// Desk is one core node's.
type Desk struct {
	past  [mark.Parts][]moment
	r     *realm.Realm
	p     *pact.Pact
	books []*Book

	mu     sync.Mutex
	terms  map[mark.Part]mark.Term
	grants map[mark.Part]map[string]*grant

	gathered map[mark.Part]*gathering
}

func NewDesk(r *realm.Realm, p *pact.Pact, books []*Book) *Desk {
	return &Desk{r: r, p: p, books: books, terms: map[mark.Part]mark.Term{}, grants: map[mark.Part]map[string]*grant{}, gathered: map[mark.Part]*gathering{}}
}

// Open starts to watch over the grants.
func (d *Desk) Open() {
	d.r.Go(func() {
		for i := 0; d.r.Pause(100 * time.Millisecond); i++ {
			for no := range d.books {
				d.expire(mark.Part(no))
				if i%100 == 0 {
					d.sweep(mark.Part(no))
				}
			}
		}
	})
}

// moment is how far a part had come at a time.
type moment struct {
	at    time.Time
	stamp mark.Stamp
}

// ClaimsKept is how long the claim on an order's key stands, at least.
const ClaimsKept = 10 * time.Minute

// sweep takes out claims that are older than that.
func (d *Desk) sweep(no mark.Part) {
	if !d.p.Part(no).IsServing() {
		d.past[no] = nil
		return
	}
	claims, stamp := d.books[no].All(Claim, "")
	d.past[no] = append(d.past[no], moment{d.r.Now(), stamp})
	old := mark.Stamp(0)
	for len(d.past[no]) > 0 && d.r.Since(d.past[no][0].at) > ClaimsKept {
		old = d.past[no][0].stamp
		d.past[no] = d.past[no][1:]
	}
	for _, claim := range claims {
		if claim.Stamp <= old {
			d.r.Go(func() {
				ctx, end := context.WithTimeout(d.r, 5*time.Second)
				defer end()
				d.p.Part(no).Propose(ctx, &wire.BondOp{Op: "sweep", Name: "claims", Fence: old})
			})
			return
		}
	}
}

// Do carries out one call on a part owned here.
func (d *Desk) Do(ctx context.Context, op *wire.BondOp) (*wire.BondReceipt, error) {
	if problem := check(op); problem != nil {
		return nil, problem
	}
	no := mark.PartOf(op.Name)
	part, book := d.p.Part(no), d.books[no]
	switch op.Op {
	case "get", "list", "watch", "renew":
		began := d.r.Now()
		term, _, isServing := part.Serving()
		if !isServing {
			return nil, fault.New(fault.NotOwner, "part %d", no)
		}
		if err := part.Confirm(ctx, began); err != nil {
			return nil, err
		}
		switch op.Op {
		case "get":
			return d.get(book, op)
		case "list":
			keys, stamp := book.All(Key, op.Name)
			return &wire.BondReceipt{Stamp: stamp, Keys: keys}, nil
		case "watch":
			return d.watch(ctx, part, book, op)
		}
		return d.renew(no, term, op)
	}
	if op.Op == "claim" {
		return d.claim(ctx, no, op)
	}
	_, receipt, err := part.Propose(ctx, op)
	if err != nil {
		return nil, err
	}
	got, ok := receipt.(*wire.BondReceipt)
	if !ok {
		return nil, fault.New(fault.Unsure, "part %d", no)
	}
	if op.Op == "acquire" && got.Code == 0 {
		return d.acquired(no, op, got)
	}
	return got, nil
}

func check(op *wire.BondOp) error {
	var paths []string
	if op.Name == "" || len(op.Name) > 512 {
		paths = append(paths, "name: is missing or longer than 512 bytes")
	}
	if len(op.Value) > 64<<10 {
		paths = append(paths, "value: is larger than 64 KiB")
	}
	switch op.Op {
	case "get", "list", "watch", "put", "drop", "mark", "unmark", "expire", "claim", "unclaim", "settle":
	case "add":
	case "acquire":
		if op.Holder == "" {
			paths = append(paths, "holder: is missing")
		}
		if op.Ttl < 1000 || op.Ttl > 3600_000 {
			paths = append(paths, "ttl: is outside 1 s to 1 h")
		}
	case "release", "renew":
		if op.Holder == "" || op.Fence == 0 {
			paths = append(paths, "holder, fence: are missing")
		}
	default:
		paths = append(paths, "op: "+op.Op+" is not known")
	}
	if len(paths) > 0 {
		return fault.At(fault.BadCall, paths)
	}
	return nil
}

func (d *Desk) get(book *Book, op *wire.BondOp) (*wire.BondReceipt, error) {
	kind := Key
	if op.Holder != "" {
		kind = op.Holder
	}
	record, ok := book.Get(kind, op.Name)
	if !ok && kind == Count {
		return &wire.BondReceipt{}, nil
	}
	if !ok {
		return &wire.BondReceipt{Code: fault.NoKey.No}, nil
	}
	return &wire.BondReceipt{Stamp: record.Stamp, Value: record.Value, Count: record.Count, Holder: record.Holder, Fence: record.Fence, Ttl: record.Ttl}, nil
}

// watch holds the call until something under the name happens.
func (d *Desk) watch(ctx context.Context, part *pact.Part, book *Book, op *wire.BondOp) (*wire.BondReceipt, error) {
	if op.From == 0 {
		keys, stamp := book.All(Key, op.Name)
		return &wire.BondReceipt{Stamp: stamp, Keys: keys}, nil
	}
	hold := time.NewTimer(time.Duration(op.Hold) * time.Millisecond)
	defer hold.Stop()
	for {
		change := part.Watch()
		events, next, isKept := book.Since(op.Name, op.From, 256)
		if !isKept {
			return &wire.BondReceipt{Code: fault.StampTooOld.No, Stamp: next}, nil
		}
		if len(events) > 0 {
			return &wire.BondReceipt{Stamp: next, Events: events}, nil
		}
		if !part.IsServing() {
			return nil, fault.New(fault.NotOwner, "part changed its owner")
		}
		select {
		case <-change:
		case <-hold.C:
			return &wire.BondReceipt{Stamp: next}, nil
		case <-ctx.Done():
			return &wire.BondReceipt{Stamp: next}, nil
		}
	}
}

// under returns the grants of the part for this term, emptied at a new one.
func (d *Desk) under(no mark.Part, term mark.Term) map[string]*grant {
	if d.terms[no] != term || d.grants[no] == nil {
		d.terms[no], d.grants[no] = term, map[string]*grant{}
	}
	return d.grants[no]
}

// acquired starts the grant's time; a repeat of a request whose grant has
// passed meanwhile is told so, rather than handed the old receipt as valid.
func (d *Desk) acquired(no mark.Part, op *wire.BondOp, got *wire.BondReceipt) (*wire.BondReceipt, error) {
	record, ok := d.books[no].Get(Lock, op.Name)
	if !ok || record.Fence != got.Fence {
		return &wire.BondReceipt{Code: fault.NotHeld.No, Fence: got.Fence}, nil
	}
	renewed, err := d.extend(no, op.Name, got.Fence, got.Ttl)
	if err != nil || renewed.Code != 0 {
		return renewed, err
	}
	return got, nil
}

func (d *Desk) renew(no mark.Part, term mark.Term, op *wire.BondOp) (*wire.BondReceipt, error) {
	record, ok := d.books[no].Get(Lock, op.Name)
	if !ok || record.Holder != op.Holder || record.Fence != op.Fence {
		return &wire.BondReceipt{Code: fault.NotHeld.No, Fence: record.Fence}, nil
	}
	if now, _, isServing := d.p.Part(no).Serving(); !isServing || now != term {
		return nil, fault.New(fault.NotOwner, "part %d", no)
	}
	return d.extend(no, op.Name, op.Fence, record.Ttl)
}

func (d *Desk) extend(no mark.Part, name string, fence mark.Stamp, ttl int64) (*wire.BondReceipt, error) {
	term, _, isServing := d.p.Part(no).Serving()
	if !isServing {
		return nil, fault.New(fault.Unsure, "part %d", no)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	grants := d.under(no, term)
	g := grants[name]
	if g == nil || g.fence != fence {
		g = &grant{fence: fence}
		grants[name] = g
	}
	if g.isGoingBy {
		return &wire.BondReceipt{Code: fault.NotHeld.No, Fence: fence}, nil
	}
	g.until = d.r.Now().Add(time.Duration(ttl) * time.Millisecond)
	return &wire.BondReceipt{Fence: fence, Ttl: ttl, Stamp: fence}, nil
}

// expire takes back the grants of a part whose time is over.
func (d *Desk) expire(no mark.Part) {
	term, _, isServing := d.p.Part(no).Serving()
	if !isServing {
		return
	}
	locks, _ := d.books[no].All(Lock, "")
	d.mu.Lock()
	defer d.mu.Unlock()
	grants := d.under(no, term)
	for _, lock := range locks {
		g := grants[lock.Name]
		if g == nil || g.fence != lock.Fence {
			grants[lock.Name] = &grant{fence: lock.Fence, until: d.r.Now().Add(time.Duration(lock.Ttl) * time.Millisecond)}
			continue
		}
		if d.r.Now().Before(g.until) || g.isGoingBy {
			continue
		}
		g.isGoingBy = true
		d.r.Go(func() {
			ctx, end := context.WithTimeout(d.r, 5*time.Second)
			defer end()
			d.p.Part(no).Propose(ctx, &wire.BondOp{Op: "expire", Name: lock.Name, Fence: lock.Fence})
		})
	}
}
