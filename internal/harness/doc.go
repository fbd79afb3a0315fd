// Package harness runs whole deployments of `sumac node` as real processes on loopback
// addresses, one IP address per machine. It generates load with stand-in clients and servers,
// injects faults (kills, planned stops, freezes, lost disks, network partitions, upgrades), and
// validates the recorded history with package checker. Nodes never start processes themselves.
package harness
