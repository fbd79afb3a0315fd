// Command troupe is an alias of the command harness, kept for its former name.
package main

import "github.com/sumactrestle/sumactrestle/internal/harness/command"

func main() { command.Main() }
