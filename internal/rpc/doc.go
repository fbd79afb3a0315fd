// Package rpc implements requests and responses between the processes of a fleet.
//
// A node has one Transport. It accepts connections from peers and keeps one outgoing
// connection per peer, which all calls to that peer share. Responses are matched to calls
// by the ID of their Frame. A frame is one line of JSON (messages_gen.go, generated from
// schema/wire.yaml) of at most peer.max_message_bytes.
//
// Errors are those of package errcode. errcode.Unreachable means that the request was not
// written, so the peer has not executed it. errcode.ReplyLost means that the request may
// have been written but no valid response was received, so the peer may have executed it.
// Any other code was returned by the peer, or reports that a message could not be encoded or
// decoded locally (errcode.Internal, errcode.InvalidMessage). A malformed message is
// rejected with a code, counted and logged; it never stops a node.
package rpc
