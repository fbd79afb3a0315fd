// A core node without quorum contact must not return data that may be stale. It must promptly reject
// every kind of call, so that callers can try another node, and must confirm no epoch.

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

// maxRejectionTime is the maximum time in which a node without quorum contact rejects a call.
const maxRejectionTime = 200 * time.Millisecond

// callRPC sends one RPC request to a machine, as a node would, and returns the response frame.
func (f *Fleet) callRPC(t *testing.T, m *Machine, kind string, request any) *rpc.Frame {
	t.Helper()
	conn, err := f.Network.HostAt(f.clientHost(6)).Dial(f.ctx, m.RPCAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	body, _ := json.Marshal(request)
	encoded, _ := json.Marshal(&rpc.Frame{Version: rpc.Version, ID: 1, Kind: kind, Body: body})
	fmt.Fprintf(conn, "%s\n", encoded)
	responseLine, err := bufio.NewReader(conn).ReadBytes('\n')
	response := &rpc.Frame{}
	if err != nil || json.Unmarshal(responseLine, response) != nil {
		t.Fatalf("%s returned %q, %v", kind, responseLine, err)
	}
	return response
}

// servedKinds returns the kinds of a proxy's distribution requests that a machine answers without
// an error. "full fetch" is a fetch of the complete configuration.
func (f *Fleet) servedKinds(t *testing.T, m *Machine) (kinds []string) {
	t.Helper()
	var groups []string
	for name := range m.Node().ConfigState.Current().Manifest() {
		groups = append(groups, name)
	}
	for kind, request := range map[string]any{
		"flow.listen": &rpc.ListenRequest{Manifest: map[string]rpc.GroupVersion{}},
		"flow.fetch":  &rpc.FetchRequest{Groups: groups},
		"flow.pulse":  &rpc.FreshnessRequest{},
	} {
		if f.callRPC(t, m, kind, request).Code == 0 {
			kinds = append(kinds, kind)
		}
	}
	fullFetch := rpc.FetchResponse{}
	if frame := f.callRPC(t, m, "flow.fetch", &rpc.FetchRequest{}); frame.Code == 0 && json.Unmarshal(frame.Body, &fullFetch) == nil && fullFetch.Epoch > 0 {
		kinds = append(kinds, "full fetch")
	}
	return kinds
}

// apiCalls returns one call of each kind to a node's API, by name.
func (f *Fleet) apiCalls(client *api.Client, heartbeat *api.Beat, change *api.Change) map[string]func() error {
	return map[string]func() error{
		"read the configuration": func() error { _, err := client.Epoch(f.ctx); return err },
		"submit a change":        func() error { _, err := client.Submit(f.ctx, change); return err },
		"heartbeat":              func() error { _, err := client.Beat(f.ctx, heartbeat); return err },
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
	for _, direction := range []string{"both ways", "inward", "outward", "both ways, one proxy on its side"} {
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
		t.Fatalf("with quorum contact the node serves only %v", got)
	}
	f.cutQuorumContact(m, direction)
	time.Sleep(contactLossDetectionTime)
	proxyNode := f.Machine("proxy2")
	operator := f.newOperator(2, proxyNode)
	view, err := operator.Epoch(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operator.Submit(f.ctx, f.newChangeSet(f.Rand, "meanwhile", view)); err != nil {
		t.Fatal("the other core nodes accept no change set:", err)
	}
	if got := f.servedKinds(t, m); len(got) > 0 {
		t.Errorf("without quorum contact the node serves %v", got)
	}
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), m.APIAddress())
	target := f.Targets("rates")[0]
	heartbeat := &api.Beat{Service: target.Service, Instance: target.Instance, Seq: 1 << 40, Address: target.Address, Zone: api.NewOptString(target.Zone), Weight: api.NewOptInt(1), State: "serving"}
	for name, call := range f.apiCalls(client, heartbeat, f.newChangeSet(f.Rand, "cut off", view)) {
		began := time.Now()
		err := call()
		if took := time.Since(began); took > maxRejectionTime {
			t.Errorf("%s: rejected only after %s", name, took)
		}
		// The change set may be a repeat of an accepted one, so its outcome is unknown.
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
		t.Error("the node does not serve everything again after the partition has healed")
	}
}

// contactLossDetectionTime is the time after which a node must have detected the loss of quorum
// contact.
const contactLossDetectionTime = 4 * time.Second

// cutQuorumContact cuts a core node off from the other core nodes in one or both directions. The
// direction "both ways, one proxy on its side" also leaves proxy1 with this core node only.
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
	if direction == "both ways, one proxy on its side" {
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
		f.cutQuorumContact(m, "both ways, one proxy on its side")
		time.Sleep(contactLossDetectionTime)
		f.startMachine(proxyNode)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if err := proxyNode.Node().Ready(); err == nil {
				t.Fatal("ready without a configuration that is confirmed by a quorum")
			}
		}
		f.Network.Heal()
		if !f.WaitUntil(10*time.Second, func() bool { return proxyNode.Node().Ready() == nil }) {
			t.Error("not ready after the partition has healed")
		}
	})
}
