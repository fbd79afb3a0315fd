// The faults of the brief, as scenarios. Each draws what it does from the seed,
// notes it, and keeps to what the brief allows: one disk lost at a time, with
// the copies mended before the next.
package simulator

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func five() Shape {
	s := Small()
	s.Cores, s.Proxies = 5, 3
	return s
}

// Scenarios is all of them.
var Scenarios = []Scenario{
	{Name: "kills", Shape: Small, Length: 25 * time.Second, Faults: kills},
	{Name: "power", Shape: Small, Length: 25 * time.Second, Faults: power},
	{Name: "wipes", Shape: five, Length: 30 * time.Second, Faults: wipes},
	{Name: "cuts", Shape: Small, Length: 30 * time.Second, Faults: cuts},
	{Name: "freezes", Shape: Small, Length: 25 * time.Second, Faults: freezes},
	{Name: "fulls", Shape: Small, Length: 25 * time.Second, Faults: fulls},
	{Name: "stalls", Shape: Small, Length: 25 * time.Second, Faults: stalls},
	{Name: "servers", Shape: Small, Length: 25 * time.Second, Faults: servers},
	{Name: "answers", Shape: Small, Length: 25 * time.Second, Faults: answers},
	{Name: "stops", Shape: Small, Length: 25 * time.Second, Faults: stops, IsHarmless: true},
	{Name: "servers-cut", Shape: Small, Length: 30 * time.Second, Faults: serversAnd(slowWays)},
	{Name: "servers-kill", Shape: Small, Length: 30 * time.Second, Faults: serversAnd(killOwner)},
	{Name: "amnesia", Shape: Small, Length: 30 * time.Second, Faults: amnesia},
	{Name: "folds", Shape: folding, Length: 25 * time.Second, Faults: kills},
	{Name: "flash", Shape: Small, Length: 25 * time.Second, Faults: flash},
	{Name: "laggard", Shape: Small, Length: 25 * time.Second, Faults: laggard},
	{Name: "storm", Shape: twice, Length: 25 * time.Second, Start: func(f *Fleet) { f.Stormers(12) }, Faults: storm},
	{Name: "once", Shape: Small, Length: 25 * time.Second, Start: func(f *Fleet) { f.Stormers(8) }, Faults: func(f *Fleet) { storm(f); kills(f) }},
	{Name: "rivals", Shape: Small, Length: 25 * time.Second, Start: func(f *Fleet) { f.Rivals(500 * time.Millisecond) }, Faults: takeovers},
	{Name: "replacements", Shape: replacing, Length: 30 * time.Second, Faults: replacements},
	{Name: "march", Shape: five, Length: 30 * time.Second, Faults: march},
	{Name: "acked", Shape: Small, Length: 30 * time.Second, Faults: acked},
	{Name: "slows", Shape: Small, Length: 25 * time.Second, Faults: slows},
	{Name: "herds", Shape: Small, Length: 25 * time.Second, Faults: herds},
	{Name: "cold", Shape: Small, Length: 30 * time.Second, Faults: cold},
	{Name: "stops-long", Shape: long, Length: 30 * time.Second, Start: func(f *Fleet) { f.Uploads(4) }, Faults: longStops, IsHarmless: true},
	{Name: "stops-alone", Shape: long, Length: 30 * time.Second, Start: func(f *Fleet) { f.Uploads(4) }, Faults: loneStops},
	{Name: "uploads", Shape: Small, Length: 25 * time.Second, Start: func(f *Fleet) { f.Uploads(8) }, Faults: func(f *Fleet) { cuts(f); kills(f); servers(f) }},
	{Name: "pairs", Shape: replacing, Length: 30 * time.Second, Faults: pairs},
	{Name: "overlap", Shape: five, Length: 30 * time.Second, Faults: overlap},
	{Name: "growth", Shape: growing, Length: 25 * time.Second, Faults: kills},
	{Name: "mixed", Shape: five, Length: 40 * time.Second, Faults: mixed},
}

func (f *Fleet) nap(least, most time.Duration) {
	time.Sleep(least + time.Duration(f.Rand.Int64N(int64(most-least)+1)))
}

func (f *Fleet) pick(list []*Machine) *Machine { return list[f.Rand.IntN(len(list))] }

func (f *Fleet) up(m *Machine) {
	m.upping <- struct{}{}
	defer func() { <-m.upping }()
	if m.Node() == nil {
		if err := m.Start(); err != nil {
			f.Say("%s can't start: %v", m.Name, err)
		}
	}
}

func kills(f *Fleet) {
	f.nap(time.Second, 4*time.Second)
	victims := []*Machine{f.pick(f.Machines)}
	switch f.Rand.IntN(4) {
	case 0:
		victims = f.Cores()
	case 1:
		victims = append(victims, f.pick(f.Machines))
	}
	for _, m := range victims {
		f.Say("kill %s", m.Name)
		m.Kill(false)
	}
	f.nap(0, 4*time.Second)
	for _, m := range victims {
		f.up(m)
	}
}

func power(f *Fleet) {
	f.nap(time.Second, 4*time.Second)
	victims := []*Machine{f.pick(f.Cores())}
	switch f.Rand.IntN(3) {
	case 0:
		victims = f.Cores()
	case 1:
		zone := f.pick(f.Machines).Zone
		victims = f.some(func(m *Machine) bool { return m.Zone == zone })
	}
	for _, m := range victims {
		f.Say("%s loses power", m.Name)
		m.Kill(true)
	}
	f.nap(0, 4*time.Second)
	for _, m := range victims {
		f.up(m)
	}
}

// isMended tells whether every part's group is of members that are there now.
func (f *Fleet) isMended() bool {
	for _, m := range f.Cores() {
		if m.Node() == nil {
			return false
		}
	}
	births := map[rpc.Peer]bool{}
	for _, m := range f.Cores() {
		me := m.Node().Kin.Self()
		births[rpc.Peer{Name: me.Name, ID: me.ID}] = true
	}
	for no := range ids.ShardCount + 1 {
		isOwned := false
		for _, m := range f.Cores() {
			part := m.Node().Consensus.Replica(ids.Shard(no))
			if !part.IsServing() {
				continue
			}
			o := part.Status()
			isOwned = o.LastIndex == o.CommitIndex && len(o.Voters) == consensus.ReplicationFactor(ids.Shard(no), len(f.Cores()), 1)
			for _, peer := range o.Voters {
				isOwned = isOwned && births[peer]
			}
		}
		if !isOwned {
			return false
		}
	}
	return true
}

func wipes(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	m := f.pick(f.Cores())
	f.Say("%s is lost with its disk", m.Name)
	m.Kill(true)
	f.W.Disk(m.IP).Wipe()
	f.nap(0, 3*time.Second)
	if f.Rand.IntN(2) == 0 {
		m.Move()
		f.Say("%s comes back at %s", m.Name, m.IP)
	}
	f.up(m)
	if !f.Until(30*time.Second, f.isMended) {
		f.Say("the copies are not mended after 30 s")
	}
}

func cuts(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	one, two := f.pick(f.Machines), f.pick(f.Machines)
	switch f.Rand.IntN(5) {
	case 0:
		f.Say("cut %s to %s one way", one.Name, two.Name)
		f.W.Cut(one.IP, two.IP)
	case 1:
		f.Say("cut %s off", one.Name)
		f.isolate([]*Machine{one})
	case 2:
		f.Say("cut %s off, outward only", one.Name)
		for _, m := range f.Machines {
			f.W.Cut(one.IP, m.IP)
		}
	case 3:
		f.Say("cut %s off", one.Zone)
		f.isolate(f.some(func(m *Machine) bool { return m.Zone == one.Zone }))
	case 4:
		f.Say("split the core apart")
		for _, a := range f.Cores() {
			f.isolate([]*Machine{a})
		}
	}
	f.nap(500*time.Millisecond, 7*time.Second)
	f.Say("heal")
	f.W.Heal()
}

// isolate cuts some machines off from all others of the fleet.
func (f *Fleet) isolate(some []*Machine) {
	isIn := map[*Machine]bool{}
	for _, m := range some {
		isIn[m] = true
	}
	for _, a := range some {
		for _, b := range f.Machines {
			if !isIn[b] {
				f.W.Cut(a.IP, b.IP)
				f.W.Cut(b.IP, a.IP)
			}
		}
	}
}

func freezes(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	m := f.pick(f.Machines)
	f.Say("hold %s still", m.Name)
	f.W.Hold(m.IP)
	f.nap(300*time.Millisecond, 6*time.Second)
	f.W.Release(m.IP)
	f.Say("release %s", m.Name)
}

func stalls(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	victims := []*Machine{f.pick(f.Cores())}
	if f.Rand.IntN(4) == 0 {
		victims = f.Cores()
	}
	for _, m := range victims {
		f.Say("the disk of %s stalls", m.Name)
		f.W.Disk(m.IP).Stall()
	}
	f.nap(200*time.Millisecond, 6*time.Second)
	for _, m := range victims {
		f.W.Disk(m.IP).Resume()
	}
	if f.Rand.IntN(3) == 0 {
		f.Say("%s loses power after a stall", victims[0].Name)
		victims[0].Kill(true)
		f.up(victims[0])
	}
}

// folding makes snapshots all the time, so that restarts come from them.
func folding() Shape {
	s := Small()
	s.Settings["pact.snapshot"] = "20"
	return s
}

// long has servers that work for up to a few seconds on each request.
func long() Shape {
	s := Small()
	s.Work = 2500 * time.Millisecond
	return s
}

func growing() Shape {
	s := Small()
	s.Growth = 400
	return s
}

func twice() Shape {
	s := Small()
	s.IsTwice = true
	return s
}

// amnesia wipes one core node while another is cut off, so that the one that
// knows is alone with one that knows nothing.
func amnesia(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	cores := f.Cores()
	i := f.Rand.IntN(len(cores))
	away, lost := cores[i], cores[(i+1)%len(cores)]
	f.Say("cut %s off", away.Name)
	f.isolate([]*Machine{away})
	f.nap(2*time.Second, 4*time.Second)
	f.Say("%s is lost with its disk and comes back; %s is heard again, the third is cut off", lost.Name, away.Name)
	lost.Kill(true)
	f.W.Disk(lost.IP).Wipe()
	third := cores[(i+2)%len(cores)]
	f.W.Heal()
	f.isolate([]*Machine{third})
	f.up(lost)
	f.nap(2*time.Second, 4*time.Second)
	f.Say("heal")
	f.W.Heal()
	f.Until(30*time.Second, f.isMended)
}

// flash lets disks stall for a moment and then takes the power from their
// machines, so that whatever was told before it was synced is gone.
func flash(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	cores := f.Cores()
	f.Rand.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	victims := cores[:2+f.Rand.IntN(2)]
	for _, m := range victims {
		f.Say("the disk of %s stalls", m.Name)
		f.W.Disk(m.IP).Stall()
	}
	f.nap(50*time.Millisecond, 700*time.Millisecond)
	for _, m := range victims {
		f.Say("%s loses power", m.Name)
		m.Kill(true)
	}
	f.nap(0, time.Second)
	for _, m := range victims {
		f.up(m)
	}
}

// laggard brings a core node back from a cut at the moment at which another one
// dies, so that the one that lacks the newest entries may stand for their parts.
func laggard(f *Fleet) {
	f.nap(time.Second, 2*time.Second)
	cores := f.Cores()
	f.Rand.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	f.Say("cut %s off", cores[0].Name)
	f.isolate(cores[:1])
	f.nap(1500*time.Millisecond, 4*time.Second)
	f.Say("kill %s and heal", cores[1].Name)
	cores[1].Kill(false)
	f.W.Heal()
	f.nap(2*time.Second, 4*time.Second)
	f.up(cores[1])
}

func stops(f *Fleet) {
	f.nap(time.Second, 3*time.Second)
	m := f.pick(f.Machines)
	f.Say("stop %s as planned", m.Name)
	m.Stop()
	f.nap(0, 2*time.Second)
	f.up(m)
	f.nap(time.Second, 2*time.Second)
}

func mixed(f *Fleet) {
	all := []func(*Fleet){kills, power, wipes, cuts, freezes, stalls, servers, servers, stops}
	all[f.Rand.IntN(len(all))](f)
	for _, m := range f.Machines {
		f.up(m)
	}
	f.Until(30*time.Second, f.isMended)
}
