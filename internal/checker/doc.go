// Package checker records the history of a fleet as its clients and servers observe it, and
// checks the complete history against a set of safety rules.
//
// The approach is that of Jepsen: clients and servers record invocations and outcomes, and the
// rules depend on nothing inside the system. A History is written as JSON lines, so a recorded
// one can be read and checked again. Missing evidence is a violation too: a history without a
// ScenarioEnded record and a "not run" response without a request ID can't be checked.
//
// The names of rules, kinds of records and JSON fields occur in recorded histories, in
// proof/mutants.yaml and in the documentation, and must not change.
package checker
