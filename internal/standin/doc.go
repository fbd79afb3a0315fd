// Package standin implements the servers, clients and operators around a fleet under test.
// Servers send heartbeats, execute requests and seal their responses; clients send requests;
// operators submit change sets. Each of them records its requests and responses in a
// checker.History. A server can be configured to misbehave.
package standin
