// Package simulator runs a complete fleet in one process and in virtual time: the real code
// of the nodes in a synctest bubble, on a network and on disks made here, with stand-in
// targets, clients, applications and operators around it. What happens at the edges goes
// into a history that package checker judges.
//
// The files are in three groups. The machine room: network, conn, listener, packet_conn,
// link, disk. The fleet: fleet, machine, scenarios, run, recovery, connectivity and
// platform_mode. What is done to it: the load_ files hold what clients, applications and
// operators do, the faults_ files what goes wrong.
//
// A seed decides the faults and their times. The order in which tasks run is the
// scheduler's, so a seed given again makes the same faults, not the same steps.
package simulator
