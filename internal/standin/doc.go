// Package standin holds the stand-ins at the edges of a fleet under test: servers that send
// heartbeats, execute requests and seal their responses, clients that send requests, and
// operators that submit change sets. Each records what it sees in a checker.History, and a
// server can be told to misbehave.
package standin
