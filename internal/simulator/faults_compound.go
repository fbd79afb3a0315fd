// Compound faults: kills of every machine one after the other, loss of power or a disk right
// after an acknowledgement, slow disks, restarts of many targets, proxies that start before the
// core, planned stops during long requests or without a majority, interrupted uploads, and
// overlapping faults.

package simulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// killOneByOne kills and restarts every machine in random order, some with a power loss, each soon
// after the previous one has restarted.
func killOneByOne(f *Fleet) {
	machines := append([]*Machine(nil), f.Machines...)
	f.Rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for _, m := range machines {
		f.Logf("kill %s", m.Name)
		m.Kill(f.Rand.IntN(2) == 0)
		f.sleepBetween(0, 1500*time.Millisecond)
		f.startMachine(m)
		f.sleepBetween(300*time.Millisecond, 2500*time.Millisecond)
	}
}

// leaderOf returns a core node that serves as leader of a shard, other than the excluded one. It
// returns nil if there is none.
func leaderOf(f *Fleet, shard ids.Shard, excluded *Machine) *Machine {
	for _, m := range f.Cores() {
		if m != excluded && m.Node() != nil && m.Node().Consensus.Replica(shard).IsServing() {
			return m
		}
	}
	return nil
}

// faultAfterAcknowledgement cuts the power of the leader or of another core node right after a
// write or a change set was acknowledged, and wipes its disk in half of the cases.
func faultAfterAcknowledgement(f *Fleet) {
	f.sleepBetween(500*time.Millisecond, 2*time.Second)
	submitsChange, wipesDisk, hitsLeader := f.Rand.IntN(2) == 0, f.Rand.IntN(2) == 0, f.Rand.IntN(2) == 0
	name := fmt.Sprint("acked", f.Rand.IntN(100))
	shard := ids.ShardOf(name)
	if submitsChange {
		shard = ids.ConfigShard
	}
	leader := leaderOf(f, shard, nil)
	if leader == nil {
		return
	}
	victim := leader
	for !hitsLeader && victim == leader {
		victim = f.pick(f.Cores())
	}
	proxyNode := f.pick(f.Proxies())
	if proxyNode.Node() == nil {
		return
	}
	if submitsChange {
		operator := f.newOperator(70, proxyNode)
		if view, err := operator.Epoch(f.ctx); err == nil {
			operator.Submit(f.ctx, f.newChange(fmt.Sprint("a-", f.changeCount.Add(1)), view.Epoch))
		}
	} else {
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(70)), proxyNode.APIAddress())
		f.recordCoordination(checker.Record{Op: "put", Name: name}, func(ctx context.Context, rec *checker.Record) error {
			receipt, err := client.PutKey(ctx, &api.Call{Name: name, Value: jx.Raw("1")})
			return recordResponse(rec, receipt, err)
		})
	}
	f.Logf("%s loses power right after an acknowledgement (change set %v, leader %v, disk lost %v)", victim.Name, submitsChange, hitsLeader, wipesDisk)
	victim.Kill(true)
	if wipesDisk {
		f.Network.Disk(victim.IP).Wipe()
	}
	f.sleepBetween(0, 2*time.Second)
	if !submitsChange {
		f.readBack(name)
	}
	f.startMachine(victim)
	if wipesDisk && !f.WaitUntil(30*time.Second, f.isRepaired) {
		f.Logf("the replicas are not repaired after 30 s")
	}
}

// readBack records a read of a key through a random proxy. A missing key (code 3008) is recorded as
// a successful read.
func (f *Fleet) readBack(name string) {
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(70)), f.pick(f.Proxies()).APIAddress())
	f.recordCoordination(checker.Record{Op: "get", Name: name}, func(ctx context.Context, rec *checker.Record) error {
		receipt, err := client.GetKey(ctx, api.GetKeyParams{Name: name})
		if standin.CodeOf(err) == 3008 {
			return nil
		}
		return recordResponse(rec, receipt, err)
	})
}

// slowDisks delays every sync of one or all core nodes by 20 to 919 ms. The upper end is near the
// time after which a leader steps down.
func slowDisks(f *Fleet) {
	f.sleepBetween(500*time.Millisecond, 2*time.Second)
	victims := f.Cores()
	if f.Rand.IntN(2) == 0 {
		victims = victims[:1]
	}
	for _, m := range victims {
		delay := time.Duration(20+f.Rand.IntN(900)) * time.Millisecond
		f.Logf("every sync of %s takes %s", m.Name, delay)
		f.Network.Disk(m.IP).Slow(delay)
	}
	f.sleepBetween(time.Second, 5*time.Second)
	for _, m := range victims {
		f.Network.Disk(m.IP).Slow(0)
	}
	if f.Rand.IntN(3) == 0 {
		f.Logf("%s loses power while its disk is slow", victims[0].Name)
		victims[0].Kill(true)
		f.startMachine(victims[0])
	}
}

// restartManyTargets crashes all targets of a service or of a zone, and starts as many new ones.
func restartManyTargets(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	service := []string{"bookings", "rates"}[f.Rand.IntN(2)]
	zone := fmt.Sprint("zone", 1+f.Rand.IntN(f.Shape.Zones))
	byZone := f.Rand.IntN(2) == 0
	var crashed []*standin.Server
	for _, name := range []string{"bookings", "rates"} {
		for _, s := range f.Targets(name) {
			if byZone && s.Zone == zone || !byZone && name == service {
				crashed = append(crashed, s)
			}
		}
	}
	f.Logf("%d targets crash at once (by zone: %v)", len(crashed), byZone)
	for _, s := range crashed {
		f.RemoveTarget(s)
		s.Crash()
	}
	f.sleepBetween(0, 3*time.Second)
	for _, s := range crashed {
		f.StartTarget(s.Service, "", f.Rand.IntN(f.Shape.Zones))
	}
	f.sleepBetween(time.Second, 2*time.Second)
}

// startProxiesBeforeCore cuts the power of all machines, then starts the proxies and after them the
// core nodes.
func startProxiesBeforeCore(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	f.Logf("all machines lose power; proxies start before the core")
	for _, m := range f.Machines {
		m.Kill(true)
	}
	for _, m := range f.Proxies() {
		f.startMachine(m)
		f.sleepBetween(0, time.Second)
	}
	f.sleepBetween(0, 4*time.Second)
	for _, m := range f.Cores() {
		f.startMachine(m)
		f.sleepBetween(0, time.Second)
	}
	f.sleepBetween(3*time.Second, 6*time.Second)
}

// stopDuringLongRequests performs a planned stop of a machine while requests that take seconds and
// uploads are in progress. The machine is killed if it has not stopped after 6 s.
func stopDuringLongRequests(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	m := f.pick(f.Machines)
	f.Logf("planned stop of %s during long requests", m.Name)
	done := make(chan struct{})
	go func() { m.Stop(); close(done) }()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		f.Logf("kill %s, not stopped after 6 s", m.Name)
		m.Kill(false)
		f.Network.Kill(m.IP, false)
		<-done
	}
	f.sleepBetween(0, time.Second)
	f.startMachine(m)
	f.sleepBetween(500*time.Millisecond, 2*time.Second)
}

// stopWithoutMajority performs a planned stop while all core nodes are isolated from each other, so
// that there is no majority.
func stopWithoutMajority(f *Fleet) {
	f.sleepBetween(time.Second, 2*time.Second)
	f.Logf("isolate every core node")
	for _, a := range f.Cores() {
		f.isolate([]*Machine{a})
	}
	f.sleepBetween(0, 2*time.Second)
	stopDuringLongRequests(f)
	f.Logf("heal")
	f.Network.Heal()
	f.sleepBetween(2*time.Second, 4*time.Second)
}

// overlapFaults runs two or three kinds of faults concurrently, each twice.
func overlapFaults(f *Fleet) {
	faults := []func(*Fleet){killMachines, pauseMachines, partitionNetwork, slowDisks, disturbTargets, restartManyTargets, stopMachines}
	f.Rand.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	var running sync.WaitGroup
	for _, inject := range faults[:2+f.Rand.IntN(2)] {
		running.Add(1)
		go func() { defer running.Done(); inject(f); inject(f) }()
	}
	running.Wait()
	f.Network.Heal()
	f.sleepBetween(time.Second, 3*time.Second)
}

// StartUploads starts n clients that send large request bodies. Half of the requests wait for the
// response. The others send slowly and disconnect without reading it, after half of the body or
// all of it.
func (f *Fleet) StartUploads(n int) {
	for i := range n {
		host := f.Network.HostAt(f.clientHost(80 + i))
		client := f.newClient(80 + i)
		f.goTask(func(r *rand.Rand) {
			pause(r, 300*time.Millisecond)
			proxyAddress := f.Proxies()[r.IntN(len(f.Proxies()))].ProxyAddress()
			body := strings.Repeat(fmt.Sprintf("%08x", r.Uint32()), 12000)
			if r.IntN(2) == 0 {
				client.Call(f.ctx, proxyAddress, http.MethodPost, "/bookings", "bookings", []byte(body))
				return
			}
			conn, err := host.Dial(f.ctx, proxyAddress)
			if err != nil {
				return
			}
			defer conn.Close()
			callID, sendsAll := ids.NewID(), r.IntN(2) == 0
			rec := checker.Record{Kind: checker.RequestCompleted, Start: f.History.Now(), CallID: callID, Proxy: proxyAddress, Service: "bookings", Path: "/bookings", Digest: standin.Digest([]byte(body)), Outcome: "gone"}
			if f.Shape.PlatformMode {
				rec.PerAttempt, rec.RequestID = true, ids.NewID()
			}
			fmt.Fprintf(conn, "POST /bookings HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", standin.HeaderCall, callID, proxy.HeaderRequestID, rec.RequestID, len(body))
			for offset := 0; offset < len(body) && (sendsAll || offset < len(body)/2); offset += 16000 {
				io.WriteString(conn, body[offset:min(offset+16000, len(body))])
				pause(r, 40*time.Millisecond)
			}
			f.History.Add(rec)
		})
	}
}
