// What comparing lists costs, who looks for a lost member, and how long news goes round.
package membership

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// lines is a network in memory: a listener for each address.
type lines struct {
	mu   sync.Mutex
	ends map[string]chan net.Conn
}

type end struct {
	conns chan net.Conn
	over  chan struct{}
	once  sync.Once
}

func (e *end) Accept() (net.Conn, error) {
	select {
	case conn := <-e.conns:
		return conn, nil
	case <-e.over:
		return nil, net.ErrClosed
	}
}
func (e *end) Close() error   { e.once.Do(func() { close(e.over) }); return nil }
func (e *end) Addr() net.Addr { return &net.TCPAddr{} }

func (l *lines) net() environment.Host {
	return environment.Host{
		Listen: func(address string) (net.Listener, error) {
			e := &end{conns: make(chan net.Conn), over: make(chan struct{})}
			l.mu.Lock()
			l.ends[address] = e.conns
			l.mu.Unlock()
			return e, nil
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			l.mu.Lock()
			conns := l.ends[address]
			l.mu.Unlock()
			if conns == nil {
				return nil, net.ErrClosed
			}
			mine, its := net.Pipe()
			select {
			case conns <- its:
				return mine, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
}

func member(no int) rpc.Member {
	return rpc.Member{Name: ids.NodeName(fmt.Sprint("node", no)), ID: ids.MemberID(fmt.Sprint("birth", no)), RPCAddress: fmt.Sprintf("10.1.%d.%d:7000", no/200, no%200), Zone: fmt.Sprint("z", no%7), Strength: 100, Incarnation: 1, State: StateAlive}
}

func members(n int) (list []rpc.Member) {
	for no := range n {
		list = append(list, member(no))
	}
	return list
}

// start is a node's view; it neither probes nor compares by itself.
func (l *lines) start(t *testing.T, ctx context.Context, m rpc.Member) *Memberlist {
	t.Helper()
	settings, err := config.Load("", map[string]string{"name": string(m.Name), "zone": m.Zone, "wire.address": m.RPCAddress, "api.address": "10.0.0.9:1", "gate.address": "10.0.0.9:2"})
	if err != nil {
		t.Fatal(err)
	}
	r := environment.New(ctx, settings, eventlog.New(t.Output(), "error", string(m.Name)), l.net())
	w := rpc.New(r)
	k := New(r, w, m)
	if err := w.Open(); err != nil {
		t.Fatal(err)
	}
	return k
}

func sent(k *Memberlist) (bytes int64) {
	for _, count := range k.transport.Traffic() {
		bytes += count[1]
	}
	return bytes
}

// isSame tells whether both hold the same of all that are not gone.
func isSame(a, b *Memberlist) bool {
	live := func(k *Memberlist) map[ids.NodeName]rpc.Member {
		some := map[ids.NodeName]rpc.Member{}
		for name, s := range k.View() {
			if statePrecedence(s.State) < 2 {
				some[name] = s.Member
			}
		}
		return some
	}
	return maps.Equal(live(a), live(b))
}

func TestListsThatDifferInLittleCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := &lines{ends: map[string]chan net.Conn{}}
		a, b := l.start(t, ctx, member(0)), l.start(t, ctx, member(1))
		a.merge(members(460), true)
		b.merge(members(460), true)
		if !a.PushPull(b.Self().RPCAddress) {
			t.Fatal("not in touch")
		}
		if cost := sent(a) + sent(b); cost > 400 {
			t.Errorf("lists that are the same cost %d bytes", cost)
		}
		restarted, down := member(77), member(300)
		restarted.ID, restarted.Incarnation, down.State = "another", 5, StateDead
		a.merge([]rpc.Member{restarted}, false)
		b.merge([]rpc.Member{down}, false)
		before := sent(a) + sent(b)
		if !a.PushPull(b.Self().RPCAddress) || !isSame(a, b) {
			t.Fatal("the lists still differ")
		}
		if cost := sent(a) + sent(b) - before; cost > 8000 {
			t.Errorf("two differences cost %d bytes", cost)
		}
		// One who knows nobody gets it all, and is known.
		c := l.start(t, ctx, member(460))
		if !c.PushPull(b.Self().RPCAddress) || !isSame(b, c) {
			t.Error("who joins does not know all, or is not known")
		}
		// That it never heard of the one that is down does not make lists differ.
		before = sent(b) + sent(c)
		if !c.PushPull(b.Self().RPCAddress) {
			t.Fatal("not in touch")
		}
		if cost := sent(b) + sent(c) - before; cost > 400 {
			t.Errorf("lists that differ only in one that is gone cost %d bytes", cost)
		}
	})
}

func TestTheSumOfAListIsThatOfItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := &lines{ends: map[string]chan net.Conn{}}
		a, b := l.start(t, ctx, member(0)), l.start(t, ctx, member(1))
		for i := range 300 {
			m := member(i * 7 % 50)
			m.Incarnation, m.State = uint64(1+i%5), []string{StateAlive, StateSuspect, StateDead, StateAlive, StateLeft}[i%5]
			if i%11 == 0 {
				m.ID = ids.MemberID(fmt.Sprint("again", i))
			}
			a.merge([]rpc.Member{m}, i%2 == 0)
		}
		a.UpdateSelf(func(m *rpc.Member) { m.HoldsConfiguration = true })
		b.merge(a.allMembers(), true)
		a.merge(b.allMembers(), true)
		b.merge(a.allMembers(), true)
		sum := uint64(0)
		for _, m := range a.allMembers() {
			sum ^= memberDigest(m)
		}
		if a.listDigest() != sum {
			t.Errorf("%x is kept, %x is right", a.listDigest(), sum)
		}
		for i, of := range a.rangeDigests(8) {
			sum := uint32(0)
			for _, m := range a.membersInRanges(8, []int{i}) {
				sum ^= uint32(memberDigest(m))
			}
			if sum != of {
				t.Error("range", i)
			}
		}
	})
}

func TestOnlySoManyWholeListsAreUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := &lines{ends: map[string]chan net.Conn{}}
		a := l.start(t, ctx, member(0))
		a.merge(members(460), true)
		var given []*rpc.Raw
		for range maxFullSyncs {
			got, err := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 1})
			raw, ok := got.(*rpc.Raw)
			if !ok || err != nil {
				t.Fatal(got, err)
			}
			given = append(given, raw)
		}
		if &given[0].Body[0] != &given[1].Body[0] {
			t.Error("the list is encoded anew for each")
		}
		got, _ := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 1})
		if receipt, ok := got.(*rpc.MembershipSync); !ok || receipt.RetryAfterMillis == 0 {
			t.Errorf("one more is given: %T", got)
		}
		// What differs in little is compared all the same.
		if got, _ := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 16}); len(got.(*rpc.MembershipSync).RangeDigests) != 16 {
			t.Error("no sums")
		}
		b := l.start(t, ctx, member(1))
		if b.PushPull(a.Self().RPCAddress) || !b.refused.Load() {
			t.Error("the refusal is not noted")
		}
		given[0].Sent()
		if !b.PushPull(a.Self().RPCAddress) || len(b.View()) != 460 {
			t.Error("a place was lost")
		}
	})
}

func TestFewLookForALostMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := &lines{ends: map[string]chan net.Conn{}}
		looking := 0
		var one *Memberlist
		lost := member(33)
		for no := range 60 {
			if no == 33 {
				continue
			}
			k := l.start(t, ctx, member(no))
			k.merge(members(60), true)
			down := lost
			down.State = StateDead
			k.merge([]rpc.Member{down}, false)
			if some := k.dueReconnects(map[ids.NodeName]*reconnectState{}, time.Now()); len(some) == 1 && some[0].Name == lost.Name {
				looking++
				one = k
			}
		}
		if looking != reconnectors {
			t.Fatalf("%d nodes look for one lost member", looking)
		}
		// The pauses grow, up to a bound; it is given up in the end.
		hunts := map[ids.NodeName]*reconnectState{}
		var asked []time.Time
		for range 2 * int(reconnectTimeout/time.Second) {
			if len(one.dueReconnects(hunts, time.Now())) > 0 {
				asked = append(asked, time.Now())
			}
			time.Sleep(time.Second)
		}
		if n := len(asked); n < int(reconnectTimeout/maxReconnectBackoff)*2/3 || n > int(reconnectTimeout/maxReconnectBackoff)*3/2 {
			t.Fatalf("asked %d times", n)
		}
		if first, later := asked[1].Sub(asked[0]), asked[9].Sub(asked[8]); later < 2*first {
			t.Errorf("the first pause was %s, a later one %s", first, later)
		}
		if last := asked[len(asked)-1].Sub(asked[0]); last > reconnectTimeout {
			t.Error("still asked after", last)
		}
		// Back again, it is looked for no longer.
		back := lost
		back.Incarnation = 9
		one.merge([]rpc.Member{back}, false)
		if len(one.dueReconnects(hunts, time.Now())) > 0 || len(hunts) != 0 {
			t.Error("looked for though it is back")
		}
	})
}

func TestNewsThatAllKnowDiesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := &lines{ends: map[string]chan net.Conn{}}
		tellings := func(heard int) (n int) {
			k := l.start(t, ctx, member(0))
			k.merge(members(460), true)
			for len(k.nextBroadcasts()) > 0 {
			}
			news := member(500)
			k.merge([]rpc.Member{news}, false)
			for range heard {
				k.merge([]rpc.Member{news}, false)
			}
			for len(k.nextBroadcasts()) > 0 {
				n++
			}
			return n
		}
		if n := tellings(0); n < 10 || n > 16 {
			t.Errorf("news is told %d times in a fleet of 460", n)
		}
		if n := tellings(50); n != minTransmits {
			t.Errorf("news that all tell is told %d times more", n)
		}
		k := l.start(t, ctx, member(0))
		k.merge(members(460), true)
		for len(k.nextBroadcasts()) > 0 {
		}
		doubted := member(9)
		doubted.State = StateSuspect
		for range 50 {
			k.merge([]rpc.Member{doubted}, false)
		}
		n := 0
		for len(k.nextBroadcasts()) > 0 {
			n++
		}
		if n < 10 {
			t.Errorf("a suspicion is told %d times only", n)
		}
	})
}

func TestALostCoreNodeIsAskedEverySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := &lines{ends: map[string]chan net.Conn{}}
		for _, size := range []int{10, 60} {
			var lookers []*Memberlist
			for no := 1; no < size; no++ {
				all := members(size)
				all[0].Core = true
				k := l.start(t, ctx, all[no])
				k.merge(all, true)
				down := all[0]
				down.State = StateDead
				k.merge([]rpc.Member{down}, false)
				if k.reconnectsTo(k.View(), down) {
					lookers = append(lookers, k)
				}
			}
			if right := map[int]int{10: 9, 60: reconnectors}[size]; len(lookers) != right {
				t.Fatalf("%d of %d nodes look for a lost core node", len(lookers), size)
			}
			hunts, last := map[ids.NodeName]*reconnectState{}, time.Now()
			for range 1200 {
				if len(lookers[0].dueReconnects(hunts, time.Now())) > 0 {
					last = time.Now()
				} else if time.Since(last) > minReconnectBackoff*5/4 {
					t.Fatal("a core node was not asked for", time.Since(last))
				}
				time.Sleep(reconnectInterval / 4)
			}
		}
	})
}
