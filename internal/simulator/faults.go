// Basic faults: kills, power losses, lost disks, partitions, pauses, stalled disks and planned
// stops. Each fault draws its parameters from the seed and logs them. The system must survive the
// loss of one disk at a time, so the replicas are repaired before the next disk is wiped.

package simulator

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// sleepBetween sleeps for a random time in a closed range.
func (f *Fleet) sleepBetween(shortest, longest time.Duration) {
	time.Sleep(shortest + time.Duration(f.Rand.Int64N(int64(longest-shortest)+1)))
}

func (f *Fleet) pick(list []*Machine) *Machine { return list[f.Rand.IntN(len(list))] }

// startMachine starts a machine unless it is already running. Concurrent calls for a machine wait
// for each other.
func (f *Fleet) startMachine(m *Machine) {
	m.starting <- struct{}{}
	defer func() { <-m.starting }()
	if m.Node() == nil {
		if err := m.Start(); err != nil {
			f.Logf("%s failed to start: %v", m.Name, err)
		}
	}
}

func killMachines(f *Fleet) {
	f.sleepBetween(time.Second, 4*time.Second)
	victims := []*Machine{f.pick(f.Machines)}
	switch f.Rand.IntN(4) {
	case 0:
		victims = f.Cores()
	case 1:
		victims = append(victims, f.pick(f.Machines))
	}
	for _, m := range victims {
		f.Logf("kill %s", m.Name)
		m.Kill(false)
	}
	f.sleepBetween(0, 4*time.Second)
	for _, m := range victims {
		f.startMachine(m)
	}
}

func losePower(f *Fleet) {
	f.sleepBetween(time.Second, 4*time.Second)
	victims := []*Machine{f.pick(f.Cores())}
	switch f.Rand.IntN(3) {
	case 0:
		victims = f.Cores()
	case 1:
		zone := f.pick(f.Machines).Zone
		victims = f.filter(func(m *Machine) bool { return m.Zone == zone })
	}
	for _, m := range victims {
		f.Logf("%s loses power", m.Name)
		m.Kill(true)
	}
	f.sleepBetween(0, 4*time.Second)
	for _, m := range victims {
		f.startMachine(m)
	}
}

// isRepaired reports whether all core nodes are up and every shard has a serving leader, no
// uncommitted entries, and a full set of voters that are all current members.
func (f *Fleet) isRepaired() bool {
	for _, m := range f.Cores() {
		if m.Node() == nil {
			return false
		}
	}
	memberIDs := map[rpc.Peer]bool{}
	for _, m := range f.Cores() {
		self := m.Node().Members.Self()
		memberIDs[rpc.Peer{Name: self.Name, ID: self.ID}] = true
	}
	for shard := range ids.ShardCount + 1 {
		shardRepaired := false
		for _, m := range f.Cores() {
			replica := m.Node().Consensus.Replica(ids.Shard(shard))
			if !replica.IsServing() {
				continue
			}
			status := replica.Status()
			shardRepaired = status.LastIndex == status.CommitIndex && len(status.Voters) == consensus.ReplicationFactor(ids.Shard(shard), len(f.Cores()), 1)
			for _, peer := range status.Voters {
				shardRepaired = shardRepaired && memberIDs[peer]
			}
		}
		if !shardRepaired {
			return false
		}
	}
	return true
}

func wipeDisks(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	m := f.pick(f.Cores())
	f.Logf("%s loses power and its disk", m.Name)
	m.Kill(true)
	f.Network.Disk(m.IP).Wipe()
	f.sleepBetween(0, 3*time.Second)
	if f.Rand.IntN(2) == 0 {
		m.Move()
		f.Logf("%s restarts at the new address %s", m.Name, m.IP)
	}
	f.startMachine(m)
	if !f.WaitUntil(30*time.Second, f.isRepaired) {
		f.Logf("the replicas are not repaired after 30 s")
	}
}

func partitionNetwork(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	from, to := f.pick(f.Machines), f.pick(f.Machines)
	switch f.Rand.IntN(5) {
	case 0:
		f.Logf("block traffic from %s to %s", from.Name, to.Name)
		f.Network.Partition(from.IP, to.IP)
	case 1:
		f.Logf("isolate %s", from.Name)
		f.isolate([]*Machine{from})
	case 2:
		f.Logf("isolate %s, outbound only", from.Name)
		for _, m := range f.Machines {
			f.Network.Partition(from.IP, m.IP)
		}
	case 3:
		f.Logf("isolate %s", from.Zone)
		f.isolate(f.filter(func(m *Machine) bool { return m.Zone == from.Zone }))
	case 4:
		f.Logf("isolate every core node")
		for _, a := range f.Cores() {
			f.isolate([]*Machine{a})
		}
	}
	f.sleepBetween(500*time.Millisecond, 7*time.Second)
	f.Logf("heal")
	f.Network.Heal()
}

// isolate partitions some machines from all others of the fleet, in both directions.
func (f *Fleet) isolate(isolated []*Machine) {
	isIsolated := map[*Machine]bool{}
	for _, m := range isolated {
		isIsolated[m] = true
	}
	for _, a := range isolated {
		for _, b := range f.Machines {
			if !isIsolated[b] {
				f.Network.Partition(a.IP, b.IP)
				f.Network.Partition(b.IP, a.IP)
			}
		}
	}
}

func pauseMachines(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	m := f.pick(f.Machines)
	f.Logf("pause %s", m.Name)
	f.Network.Pause(m.IP)
	f.sleepBetween(300*time.Millisecond, 6*time.Second)
	f.Network.Unpause(m.IP)
	f.Logf("unpause %s", m.Name)
}

func stallDisks(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	victims := []*Machine{f.pick(f.Cores())}
	if f.Rand.IntN(4) == 0 {
		victims = f.Cores()
	}
	for _, m := range victims {
		f.Logf("the disk of %s stalls", m.Name)
		f.Network.Disk(m.IP).Stall()
	}
	f.sleepBetween(200*time.Millisecond, 6*time.Second)
	for _, m := range victims {
		f.Network.Disk(m.IP).Resume()
	}
	if f.Rand.IntN(3) == 0 {
		f.Logf("%s loses power after a stall", victims[0].Name)
		victims[0].Kill(true)
		f.startMachine(victims[0])
	}
}

// wipeDuringPartition isolates one core node, then wipes a second one and isolates the third when
// the first returns. The first, whose log is outdated, and the second, whose disk is empty, are
// then connected, and must not elect a leader without the third's entries.
func wipeDuringPartition(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	cores := f.Cores()
	i := f.Rand.IntN(len(cores))
	isolated, wiped := cores[i], cores[(i+1)%len(cores)]
	f.Logf("isolate %s", isolated.Name)
	f.isolate([]*Machine{isolated})
	f.sleepBetween(2*time.Second, 4*time.Second)
	f.Logf("%s loses power and its disk and restarts; %s is reconnected, the third core node is isolated", wiped.Name, isolated.Name)
	wiped.Kill(true)
	f.Network.Disk(wiped.IP).Wipe()
	third := cores[(i+2)%len(cores)]
	f.Network.Heal()
	f.isolate([]*Machine{third})
	f.startMachine(wiped)
	f.sleepBetween(2*time.Second, 4*time.Second)
	f.Logf("heal")
	f.Network.Heal()
	f.WaitUntil(30*time.Second, f.isRepaired)
}

// losePowerDuringStall stalls the disks of two or three core nodes briefly and then cuts their
// power, so that any entry acknowledged before its sync is lost.
func losePowerDuringStall(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	cores := f.Cores()
	f.Rand.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	victims := cores[:2+f.Rand.IntN(2)]
	for _, m := range victims {
		f.Logf("the disk of %s stalls", m.Name)
		f.Network.Disk(m.IP).Stall()
	}
	f.sleepBetween(50*time.Millisecond, 700*time.Millisecond)
	for _, m := range victims {
		f.Logf("%s loses power", m.Name)
		m.Kill(true)
	}
	f.sleepBetween(0, time.Second)
	for _, m := range victims {
		f.startMachine(m)
	}
}

// killAsPartitionHeals isolates a core node, and kills another at the moment the partition heals.
// The first lacks the newest entries and may campaign for the leadership of the shards.
func killAsPartitionHeals(f *Fleet) {
	f.sleepBetween(time.Second, 2*time.Second)
	cores := f.Cores()
	f.Rand.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	f.Logf("isolate %s", cores[0].Name)
	f.isolate(cores[:1])
	f.sleepBetween(1500*time.Millisecond, 4*time.Second)
	f.Logf("kill %s and heal", cores[1].Name)
	cores[1].Kill(false)
	f.Network.Heal()
	f.sleepBetween(2*time.Second, 4*time.Second)
	f.startMachine(cores[1])
}

// stopMachines performs a planned stop and restart of one machine.
func stopMachines(f *Fleet) {
	f.sleepBetween(time.Second, 3*time.Second)
	m := f.pick(f.Machines)
	f.Logf("planned stop of %s", m.Name)
	m.Stop()
	f.sleepBetween(0, 2*time.Second)
	f.startMachine(m)
	f.sleepBetween(time.Second, 2*time.Second)
}

// runRandomFault injects one random fault, then restarts all machines and waits for the repair.
func runRandomFault(f *Fleet) {
	faults := []func(*Fleet){killMachines, losePower, wipeDisks, partitionNetwork, pauseMachines, stallDisks, disturbTargets, disturbTargets, stopMachines}
	faults[f.Rand.IntN(len(faults))](f)
	for _, m := range f.Machines {
		f.startMachine(m)
	}
	f.WaitUntil(30*time.Second, f.isRepaired)
}

// standStill stalls one to all core nodes at once for up to three seconds: their processes read and
// write nothing, while their kernels accept data. In some cases the core is partitioned meanwhile.
func standStill(f *Fleet) {
	f.sleepBetween(500*time.Millisecond, 2*time.Second)
	cores := f.Cores()
	f.Rand.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	for _, m := range cores[:1+f.Rand.IntN(len(cores))] {
		length := 300*time.Millisecond + time.Duration(f.Rand.Int64N(int64(2700*time.Millisecond)))
		f.Logf("%s stands still for %s", m.Name, length)
		f.Network.Freeze(m.IP, length)
	}
	if f.Rand.IntN(3) == 0 {
		f.Logf("isolate %s", cores[0].Name)
		f.isolate(cores[:1])
	}
	f.sleepBetween(time.Second, 3*time.Second)
	f.Network.Heal()
}
