// Package harness runs whole deployments of `sumac node` as real processes on loopback
// addresses, one address for each machine. It puts load on them through stand-ins, injects
// faults (kills, planned stops, freezes, lost disks, network partitions, upgrades), and has
// the recorded history judged by the checkers. A node itself never starts a process.
package harness
