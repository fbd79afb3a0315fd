// Command harness runs fleets of real `sumac node` processes on loopback addresses, with
// stand-ins around them, and judges what happened.
package main

import "github.com/sumactrestle/sumactrestle/internal/harness/command"

func main() { command.Main() }
