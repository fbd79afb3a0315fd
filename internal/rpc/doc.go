// Package rpc carries requests and responses between the processes of one fleet.
//
// A node has one Transport. It accepts connections from its peers and keeps one outgoing
// connection to each peer that it calls; all calls to that peer share the connection, and
// the ID of a Frame tells their responses apart. A frame is one line of JSON
// (messages_gen.go, generated from schema/wire.yaml), no longer than the setting
// peer.max_message_bytes says.
//
// Errors are those of package errcode. A call whose request could not be written fails with
// errcode.Unreachable: its peer has not acted on it. A call whose request was written, but
// whose response did not come, fails with errcode.ReplyLost: its peer may have acted on it.
// Any other code is what the peer's handler answered. A message that cannot be read is
// refused with a code, counted and logged; it never stops a node.
package rpc
