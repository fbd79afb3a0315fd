// Package simulator runs a complete fleet in one process and in virtual time. Real node code
// runs in a synctest bubble on a simulated network and simulated disks, with stand-in targets,
// clients, applications and operators. Every externally visible event is recorded in a history
// that package checker verifies.
//
// The files form three groups. Infrastructure: network, conn, listener, packet_conn, link,
// freeze and disk. The fleet: fleet, machine, scenarios, run, recovery, connectivity and
// platform_mode. Load and faults: the load_ files hold the actions of clients, applications
// and operators, the faults_ files the injected faults.
//
// A seed determines the faults and their times. The Go scheduler determines the order in which
// goroutines run, so running a seed again repeats the faults but not the exact steps.
package simulator
