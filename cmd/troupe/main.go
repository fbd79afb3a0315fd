// Command troupe is the former name of the command harness, and does the same.
package main

import "github.com/sumactrestle/sumactrestle/internal/harness/command"

func main() { command.Main() }
