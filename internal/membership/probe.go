// The probing half of kin: datagrams of one JSON line each. A ping that is not
// answered in time is repeated through two third parties; if that fails too the
// member is suspected, and it is down when the suspicion is not refuted.
package membership

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// probeAll is the size of a fleet from which on far members are asked less often.
const probeAll = 24

func (k *Memberlist) send(address string, probe rpc.Probe) {
	me := k.Self()
	probe.From, probe.FromID = me.Name, me.ID
	if probe.Updates == nil {
		probe.Updates = k.gossip()
	}
	raw, err := json.Marshal(probe)
	if err != nil {
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	k.w.Count("kin.probe", address, len(raw)+1)
	k.conn.WriteTo(append(raw, '\n'), net.UDPAddrFromAddrPort(to))
}

func (k *Memberlist) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := k.conn.ReadFrom(buffer)
		if err != nil {
			if k.r.IsStopping() || !k.r.Sleep(10*time.Millisecond) {
				return
			}
			continue
		}
		var probe rpc.Probe
		if err := json.Unmarshal(buffer[:n], &probe); err != nil {
			k.r.Events.Say(eventlog.MessageRefused, "kind", "kin.probe", "from", from.String())
			continue
		}
		k.learn(probe.Updates)
		switch probe.Kind {
		case "ping":
			if probe.To != "" && probe.To != k.r.Name {
				continue
			}
			if !k.IsLive(rpc.Peer{Name: probe.From, ID: probe.FromID}) {
				k.send(from.String(), rpc.Probe{Kind: "who"})
			}
			news := k.gossip()
			isDoubted := slices.ContainsFunc(probe.Updates, func(m rpc.Member) bool { return m.Name == k.r.Name })
			if isDoubted || k.presents() {
				news = append(news, k.Self())
			}
			k.send(from.String(), rpc.Probe{Kind: "ack", Sequence: probe.Sequence, Updates: news})
		case "ack":
			k.mu.Lock()
			if waiter, ok := k.acks[probe.Sequence]; ok {
				delete(k.acks, probe.Sequence)
				close(waiter)
			}
			k.mu.Unlock()
		case "who":
			k.present(probe.From)
		case "relay":
			to, ok := k.Lookup(probe.To)
			if !ok {
				continue
			}
			seq := probe.Sequence
			k.r.Go(func() {
				if k.ping(to.RPCAddress, to.Name, nil) {
					k.send(from.String(), rpc.Probe{Kind: "ack", Sequence: seq})
				}
			})
		}
	}
}

// present makes this node, and all it knows, known to one that asked who it is:
// machines that come back together find one another first, and nobody else.
func (k *Memberlist) present(name ids.NodeName) {
	m, ok := k.Lookup(name)
	if !ok || !k.isPresenting.CompareAndSwap(false, true) {
		return
	}
	k.r.Go(func() {
		defer k.isPresenting.Store(false)
		k.exchange(m.RPCAddress, true)
	})
}

// ping waits for the ack of one member; meanwhile verbs run after half time.
func (k *Memberlist) ping(address string, name ids.NodeName, relay func(seq uint64)) bool {
	k.mu.Lock()
	k.seq++
	seq := k.seq
	waiter := make(chan struct{})
	k.acks[seq] = waiter
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.acks, seq)
		k.mu.Unlock()
	}()
	await := func() bool {
		wakeup := time.NewTimer(k.r.Config.KinReply)
		defer wakeup.Stop()
		select {
		case <-waiter:
			return true
		case <-wakeup.C:
		case <-k.r.Done():
		}
		return false
	}
	ping := rpc.Probe{Kind: "ping", Sequence: seq, To: name}
	if s, ok := k.View()[name]; ok && s.State == StateSuspect {
		// Whoever is suspected must hear of it to refute it.
		ping.Updates = append(k.gossip(), s.Member)
	}
	k.send(address, ping)
	if await() {
		return true
	}
	if relay == nil || k.r.IsStopping() {
		return false
	}
	relay(seq)
	const waits = 2 // the way through a third party is twice as long
	for range waits {
		if await() {
			return true
		}
	}
	return false
}

// next picks the members in turn, in an order shuffled anew every time round.
func (k *Memberlist) next() (rpc.Member, bool) {
	view := k.View()
	for range 2 {
		for len(k.order) > 0 {
			name := k.order[0]
			k.order = k.order[1:]
			if s, ok := view[name]; ok && name != k.r.Name && rank(s.State) < 2 {
				return s.Member, true
			}
		}
		// Near members are asked every time round, far ones in every fourth: their own
		// zone's members ask them too.
		k.turn++
		for name, s := range view {
			isNear := s.Zone == k.r.Config.Zone || len(view) < probeAll || ids.Hash(string(name))%4 == k.turn%4
			if name != k.r.Name && rank(s.State) < 2 && isNear {
				k.order = append(k.order, name)
			}
		}
		rand.Shuffle(len(k.order), func(i, j int) { k.order[i], k.order[j] = k.order[j], k.order[i] })
	}
	return rpc.Member{}, false
}

func (k *Memberlist) probe() {
	for k.r.Sleep(k.r.Config.KinProbe) {
		k.bury()
		target, ok := k.next()
		if !ok {
			continue
		}
		relay := func(seq uint64) {
			asked := 0
			for name, s := range k.View() {
				if name != k.r.Name && name != target.Name && s.State == StateAlive && asked < 2 {
					k.send(s.RPCAddress, rpc.Probe{Kind: "relay", Sequence: seq, To: target.Name})
					asked++
				}
			}
		}
		if !k.ping(target.RPCAddress, target.Name, relay) && !k.isHere(target) && !k.r.IsStopping() {
			target.State = StateSuspect
			k.learn([]rpc.Member{target})
		}
	}
}

// isHere asks once more, over the pipe: on a full link datagrams are lost first.
func (k *Memberlist) isHere(target rpc.Member) bool {
	ctx, end := context.WithTimeout(k.r, max(2*k.r.Config.KinReply, 500*time.Millisecond))
	defer end()
	var m rpc.Member
	if k.w.Ask(ctx, target.RPCAddress, "kin.here", struct{}{}, &m) != nil || m.Name != target.Name {
		return false
	}
	k.learn([]rpc.Member{m})
	return m.ID == target.ID
}

// patience is how long a suspect may refute: news takes longer to go round in a
// larger fleet, by the logarithm of its size.
func (k *Memberlist) patience(members int) time.Duration {
	return time.Duration(float64(k.r.Config.KinSuspect) * max(1, math.Log2(float64(members))/3))
}

// bury takes out those whose suspicion was not refuted.
func (k *Memberlist) bury() {
	var dead []rpc.Member
	view := k.View()
	patience := k.patience(len(view))
	for _, s := range view {
		if s.State == StateSuspect && time.Since(s.StateChange) > patience {
			m := s.Member
			m.State = StateDead
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		k.learn(dead)
	}
}
