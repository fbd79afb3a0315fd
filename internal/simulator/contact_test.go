// A core node without contact to a quorum gives out nothing that may be stale: each kind of
// call is answered promptly that another node must be asked, and nothing is confirmed.

package simulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// promptly is how long a node without contact may take to say so.
const promptly = 200 * time.Millisecond

// askWire sends one message to a machine, as a node would.
func (f *Fleet) askWire(t *testing.T, m *Machine, kind string, ask any) *rpc.Frame {
	t.Helper()
	conn, err := f.Network.HostAt(f.clientHost(6)).Dial(f.ctx, m.RPCAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	body, _ := json.Marshal(ask)
	line, _ := json.Marshal(&rpc.Frame{Version: rpc.Version, ID: 1, Kind: kind, Body: body})
	fmt.Fprintf(conn, "%s\n", line)
	answer, err := bufio.NewReader(conn).ReadBytes('\n')
	receipt := &rpc.Frame{}
	if err != nil || json.Unmarshal(answer, receipt) != nil {
		t.Fatalf("%s is answered %q, %v", kind, answer, err)
	}
	return receipt
}

// servedKinds names the messages by which a proxy would get something from a machine.
func (f *Fleet) servedKinds(t *testing.T, m *Machine) (kinds []string) {
	t.Helper()
	var some []string
	for name := range m.Node().Plan.Current().Manifest() {
		some = append(some, name)
	}
	for kind, ask := range map[string]any{
		"flow.listen": &rpc.ListenRequest{Versions: map[string]rpc.GroupVersion{}},
		"flow.fetch":  &rpc.FetchRequest{Groups: some},
		"flow.pulse":  &rpc.FreshnessRequest{},
	} {
		if f.askWire(t, m, kind, ask).Code == 0 {
			kinds = append(kinds, kind)
		}
	}
	complete := rpc.FetchResponse{}
	if frame := f.askWire(t, m, "flow.fetch", &rpc.FetchRequest{}); frame.Code == 0 && json.Unmarshal(frame.Body, &complete) == nil && complete.Epoch > 0 {
		kinds = append(kinds, "full fetch")
	}
	return kinds
}

// calls is one of each kind that callers make at a node's own API.
func (f *Fleet) calls(client *api.Client, heartbeat *api.Beat, change *api.Change) map[string]func() error {
	return map[string]func() error{
		"read the configuration": func() error { _, err := client.Epoch(f.ctx); return err },
		"submit a change":        func() error { _, err := client.Submit(f.ctx, change); return err },
		"beat":                   func() error { _, err := client.Beat(f.ctx, heartbeat); return err },
		"put": func() error {
			_, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(`"x"`)})
			return err
		},
		"get":   func() error { _, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"}); return err },
		"count": func() error { _, err := client.AddCounter(f.ctx, &api.Call{Name: "n"}); return err },
		"lock": func() error {
			_, err := client.Lock(f.ctx, &api.Call{Name: "l", Holder: api.NewOptString("h"), TTL: api.NewOptInt64(1000)}, api.LockParams{Verb: api.LockVerbAcquire})
			return err
		},
	}
}

func TestNode_WithoutQuorumContactServesNothing(t *testing.T) {
	for _, direction := range []string{"both ways", "inward", "outward", "with a third of the callers"} {
		for _, isLeader := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", direction, isLeader), func(t *testing.T) {
				shape := Small()
				shape.Cores = 5
				inFleet(t, shape, func(t *testing.T, f *Fleet) { checkQuorumContact(t, f, direction, isLeader) })
			})
		}
	}
}

func checkQuorumContact(t *testing.T, f *Fleet, direction string, isLeader bool) {
	time.Sleep(3 * time.Second)
	m := f.leader(ids.ConfigShard)
	if !isLeader {
		m = follower(f, ids.ConfigShard)
	}
	if got := f.servedKinds(t, m); len(got) != 4 {
		t.Fatalf("in contact it gives out only %v", got)
	}
	f.cutQuorumContact(m, direction)
	time.Sleep(contactLossNoticed)
	other := f.Machine("proxy2")
	operator := f.newOperator(2, other)
	view, err := operator.Epoch(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operator.Submit(f.ctx, f.newChangeSet(f.Rand, "meanwhile", view)); err != nil {
		t.Fatal("the others take no change:", err)
	}
	if got := f.servedKinds(t, m); len(got) > 0 {
		t.Errorf("without contact it gives out %v", got)
	}
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), m.APIAddress())
	server := f.Targets("rates")[0]
	heartbeat := &api.Beat{Service: server.Service, Instance: server.Instance, Seq: 1 << 40, Address: server.Address, Zone: api.NewOptString(server.Zone), Weight: api.NewOptInt(1), State: "serving"}
	for name, call := range f.calls(client, heartbeat, f.newChangeSet(f.Rand, "cut off", view)) {
		began := time.Now()
		err := call()
		if took := time.Since(began); took > promptly {
			t.Errorf("%s: answered after %s", name, took)
		}
		// A change may be the repeat of one that was taken, so nothing is said of it.
		want, outcome := errcode.NoLeader.Number, "not run"
		if name == "submit a change" {
			want, outcome = errcode.ChangeUnknown.Number, "unknown"
		}
		if code := standin.CodeOf(err); code != want || outcomeOf(err) != outcome {
			t.Errorf("%s: code %d, outcome %q: %v", name, code, outcomeOf(err), err)
		}
	}
	f.Network.Heal()
	if !f.WaitUntil(5*time.Second, func() bool { return len(f.servedKinds(t, m)) == 4 }) {
		t.Error("in contact again it gives nothing out")
	}
}

// contactLossNoticed is after how long a node must have noticed that it has no contact.
const contactLossNoticed = 4 * time.Second

// cutQuorumContact cuts a core node off from the other core nodes.
func (f *Fleet) cutQuorumContact(m *Machine, direction string) {
	for _, other := range f.Cores() {
		if other == m {
			continue
		}
		if direction != "inward" {
			f.Network.Partition(m.IP, other.IP)
		}
		if direction != "outward" {
			f.Network.Partition(other.IP, m.IP)
		}
	}
	if direction == "with a third of the callers" {
		f.isolateFrom(m, f.Machine("proxy2"))
		f.isolateFrom(f.Machine("proxy1"), f.filter(func(o *Machine) bool { return o != m })...)
	}
}

func TestProxy_NotReadyWithoutQuorumContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shape := platformShape(Small())
		shape.Cores = 5
		f := NewFleet(1, shape, io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		m, proxyNode := follower(f, ids.ConfigShard), f.Machine("proxy1")
		proxyNode.Kill(false)
		f.cutQuorumContact(m, "with a third of the callers")
		time.Sleep(contactLossNoticed)
		f.startMachine(proxyNode)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if err := proxyNode.Node().Ready(); err == nil {
				t.Fatal("ready without a configuration that a quorum confirms")
			}
		}
		f.Network.Heal()
		if !f.WaitUntil(10*time.Second, func() bool { return proxyNode.Node().Ready() == nil }) {
			t.Error("not ready after the cut")
		}
	})
}
