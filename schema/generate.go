// Package schema contains the schemas of messages, settings, codes, events, metrics and the
// HTTP API. The Go code and the tables in docs that are generated from them are committed.
package schema

//go:generate go run ../tools/schemagen ..
//go:generate go tool ogen --target ../internal/api --package api --clean --config ogen.yaml api.yaml
