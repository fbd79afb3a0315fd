// Package schema holds the schemas of messages, settings, codes, events and of
// the API; the code and the tables made from them are committed.
package schema

//go:generate go run ../tools/schemagen ..
//go:generate go tool ogen --target ../internal/api --package api --clean --config ogen.yaml api.yaml
