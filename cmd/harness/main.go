// Command harness runs fleets of real `sumac node` processes on loopback addresses with
// simulated clients and targets, and checks the recorded history.
package main

import "github.com/sumactrestle/sumactrestle/internal/harness/command"

func main() { command.Main() }
