// Package checker records what happened to a fleet, as seen from its edges, and checks the
// complete history against one rule for each thing that must never happen.
//
// A History is written as JSON lines, so a recorded one can be read and checked again. A rule
// that lacks what it needs is a violation: silence proves nothing. The approach is that of
// Jepsen: clients and servers record invocations and outcomes, and the checkers know nothing
// of how the system works inside.
//
// The names of rules, of kinds of records and of their JSON fields stand in recorded
// histories, in proof/mutants.yaml and on the pages, and stay as they are.
package checker
