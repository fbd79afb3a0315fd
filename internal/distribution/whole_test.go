// Full fetches: encoded once for all, so many at once, given up with their asker; and
// the proxy that is told to come later.
package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// switchboard is a network in memory.
type switchboard struct {
	mu        sync.Mutex
	listeners map[string]*board
}

type board struct {
	address string
	conns   chan net.Conn
	over    chan struct{}
	once    sync.Once
}

func (b *board) Accept() (net.Conn, error) {
	select {
	case conn := <-b.conns:
		return conn, nil
	case <-b.over:
		return nil, net.ErrClosed
	}
}
func (b *board) Close() error   { b.once.Do(func() { close(b.over) }); return nil }
func (b *board) Addr() net.Addr { return &net.TCPAddr{} }

func (s *switchboard) net() environment.Host {
	return environment.Host{
		Listen: func(address string) (net.Listener, error) {
			b := &board{address: address, conns: make(chan net.Conn), over: make(chan struct{})}
			s.mu.Lock()
			s.listeners[address] = b
			s.mu.Unlock()
			return b, nil
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			s.mu.Lock()
			b := s.listeners[address]
			s.mu.Unlock()
			if b == nil {
				return nil, net.ErrClosed
			}
			mine, its := net.Pipe()
			select {
			case b.conns <- its:
				return mine, nil
			case <-b.over:
			case <-ctx.Done():
			}
			return nil, net.ErrClosed
		},
	}
}

func (s *switchboard) realm(t *testing.T, ctx context.Context, name, address string) *environment.Environment {
	t.Helper()
	settings, err := config.Load("", map[string]string{"name": name, "zone": "a", "wire.address": address, "api.address": "10.0.0.9:1", "gate.address": "10.0.0.9:2", "flow.fetches": "2"})
	if err != nil {
		t.Fatal(err)
	}
	return environment.New(ctx, settings, eventlog.New(t.Output(), "error", name), s.net())
}

// sheets is a ledger's epochs: each body changes one group more.
func sheets(t *testing.T, n int) (list []*controlplane.EpochState) {
	ledger := controlplane.NewConfigState()
	for epoch := ids.Epoch(1); epoch <= ids.Epoch(n); epoch++ {
		body, _ := json.Marshal(rpc.EpochEntry{Epoch: epoch, Put: map[string]json.RawMessage{
			fmt.Sprint(controlplane.RoutesPrefix, epoch): json.RawMessage(`[]`), controlplane.LimitsGroup: json.RawMessage(fmt.Sprintf(`[{"service":"s<%d>"}]`, epoch))}})
		if err := ledger.Apply(ids.Index(epoch), body); err != nil {
			t.Fatal("not taken", epoch, err)
		}
		list = append(list, ledger.Current())
	}
	return list
}

func TestAWholeEpochIsEncodedOnceForAll(t *testing.T) {
	epochs := sheets(t, 3)
	c := &groupEncoder{}
	first, err := c.epoch(epochs[1], false)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := c.epoch(epochs[1], false)
	if &first[0] != &again[0] {
		t.Error("a second asker's text is made anew")
	}
	kept := c.groups[controlplane.RoutesPrefix+"1"].raw
	whole, _ := c.epoch(epochs[2], false)
	if now := c.groups[controlplane.RoutesPrefix+"1"].raw; &kept[0] != &now[0] {
		t.Error("a group that did not change is made anew")
	}
	plain := &rpc.FetchResponse{Epoch: 3, Manifest: epochs[2].Manifest(), Groups: epochs[2].Groups}
	var got rpc.FetchResponse
	if err := json.Unmarshal(whole, &got); err != nil || !reflect.DeepEqual(plain, &got) {
		t.Errorf("%v: %s", err, whole)
	}
	packed, err := c.epoch(epochs[2], true)
	if again, _ := c.epoch(epochs[2], true); err != nil || &packed[0] != &again[0] {
		t.Error("a second asker's packed text is made anew", err)
	}
	for name, group := range got.Groups {
		if controlplane.Digest(group.Data) != group.Digest {
			t.Error("the digest is another's:", name)
		}
	}
}

func TestOnlySoManyFullFetchesAreUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := &switchboard{listeners: map[string]*board{}}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		s := &Server{env: board.realm(t, ctx, "core", "10.0.0.1:1")}
		state := sheets(t, 1)[0]
		request := func(ctx context.Context) (*rpc.EncodedResponse, int64) {
			got, err := s.sendFull(&rpc.Request{Context: ctx}, state, false)
			if err != nil {
				return nil, 0
			}
			if raw, ok := got.(*rpc.EncodedResponse); ok {
				return raw, 0
			}
			return nil, got.(*rpc.FetchResponse).RetryAfterMillis
		}
		gone, leave := context.WithCancel(ctx)
		leave()
		for range 5 {
			if raw, retryAfter := request(gone); raw != nil || retryAfter != 0 {
				t.Fatal("worked on for an asker that is gone")
			}
		}
		one, _ := request(ctx)
		two, _ := request(ctx)
		if one == nil || two == nil {
			t.Fatal("refused while there is a place")
		}
		time.Sleep(400 * time.Millisecond)
		if raw, retryAfter := request(ctx); raw != nil || retryAfter == 0 {
			t.Fatal("a third is under way")
		}
		one.Release()
		if one, _ = request(ctx); one == nil {
			t.Fatal("refused though one came to its end")
		}
		before := int64(0)
		for i := range 8 {
			_, retryAfter := request(ctx)
			if retryAfter == 0 || retryAfter < before || i == 7 && retryAfter == before {
				t.Fatalf("asker %d is told %d ms, the one before %d", i, retryAfter, before)
			}
			if i != 6 {
				before = retryAfter
			}
		}
		for range 1000 {
			if _, retryAfter := request(ctx); retryAfter > s.env.Config.FlowCool.Milliseconds() {
				t.Fatal("told to wait", retryAfter)
			}
		}
		two.Release()
		one.Release()
		for range 2 {
			if raw, _ := request(ctx); raw == nil {
				t.Fatal("a place was lost")
			}
		}
	})
}

// fakeCore answers fetches as told, and counts them.
func fakeCore(t *testing.T, board *switchboard, ctx context.Context, name ids.NodeName, address string, others func() []rpc.Member, fetch func(n int) any) *[]time.Time {
	r := board.realm(t, ctx, string(name), address)
	w := rpc.New(r)
	asked := &[]time.Time{}
	w.Handle("kin.sync", func(c *rpc.Request) (any, error) { return &rpc.MembershipSync{Members: others()}, nil })
	w.Handle("flow.fetch", func(c *rpc.Request) (any, error) {
		*asked = append(*asked, time.Now())
		return fetch(len(*asked)), nil
	})
	w.Handle("flow.listen", func(c *rpc.Request) (any, error) { <-c.Done(); return nil, c.Err() })
	if err := w.Start(); err != nil {
		t.Fatal(err)
	}
	return asked
}

func TestAProxyThatIsRefusedTriesTheNextAndWaitsLongerEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := sheets(t, 1)[0]
		whole, _ := new(groupEncoder).epoch(state, false)
		full := &rpc.EncodedResponse{Body: whole}
		for _, last := range []bool{true, false} {
			board := &switchboard{listeners: map[string]*board{}}
			ctx, end := context.WithCancel(t.Context())
			var members []rpc.Member
			for i := range 3 {
				members = append(members, rpc.Member{Name: ids.NodeName(fmt.Sprint("core", i)), ID: "b", RPCAddress: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "a", Core: true, HoldsConfiguration: true, Incarnation: 1, State: membership.StateAlive})
			}
			var asked [3]*[]time.Time
			r := board.realm(t, ctx, "proxy", "10.0.0.9:7")
			w := rpc.New(r)
			k := membership.New(r, w, rpc.Member{Name: "proxy", ID: "p", RPCAddress: "10.0.0.9:7", Zone: "a"})
			order := map[ids.NodeName]int{}
			for i, m := range members {
				asked[i] = fakeCore(t, board, ctx, m.Name, m.RPCAddress, func() []rpc.Member { return members }, func(n int) any {
					// The last in the list gives, or all give only when asked the sixth time.
					if last && order[m.Name] == 2 || n > 5 {
						return full
					}
					return &rpc.FetchResponse{RetryAfterMillis: 70}
				})
			}
			if !k.PushPull(members[0].RPCAddress) {
				t.Fatal("no members")
			}
			for i, m := range k.ConfigReplicas() {
				order[m.Name] = i
			}
			c := NewClient(r, w, k)
			began := time.Now()
			c.Start()
			for c.Cache.Snapshot() == nil && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(began)
			if last && took > 20*time.Millisecond {
				t.Errorf("it took %s though the third would have given at once", took)
			}
			if !last {
				times := *asked[0]
				if len(times) < 5 {
					t.Fatal("asked", len(times))
				}
				first, fourth := times[1].Sub(times[0]), times[4].Sub(times[3])
				if fourth < 2*first || took > 10*time.Second {
					t.Errorf("the first pause was %s, the fourth %s; it took %s", first, fourth, took)
				}
			}
			end()
			r.Shutdown()
			synctest.Wait()
		}
	})
}
