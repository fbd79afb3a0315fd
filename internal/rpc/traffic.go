package rpc

import "sync/atomic"

// OtherZoneSuffix is appended to the message kind for messages sent to another zone.
const OtherZoneSuffix = " between"

// responseSuffix is appended to the message kind for responses.
const responseSuffix = ".receipt"

// Traffic is the number and size of sent messages of one kind.
type Traffic struct{ Messages, Bytes int64 }

// trafficCounter counts sent messages of one kind.
type trafficCounter struct {
	messages, bytes atomic.Int64
}

// RecordSent counts a message sent to an address. Other packages call it for messages that
// they send without the transport, such as datagrams.
func (t *Transport) RecordSent(kind, address string, bytes int) {
	if t.IsSameZone != nil && !t.IsSameZone(address) {
		kind += OtherZoneSuffix
	}
	counter, ok := t.traffic.Load(kind)
	if !ok {
		counter, _ = t.traffic.LoadOrStore(kind, &trafficCounter{})
	}
	counter.(*trafficCounter).messages.Add(1)
	counter.(*trafficCounter).bytes.Add(int64(bytes))
}

// Traffic returns the messages sent so far, by kind. Kinds with the suffix ".receipt" are
// responses, those with OtherZoneSuffix were sent to another zone.
func (t *Transport) Traffic() map[string]Traffic {
	sent := map[string]Traffic{}
	t.traffic.Range(func(kind, counter any) bool {
		c := counter.(*trafficCounter)
		sent[kind.(string)] = Traffic{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
		return true
	})
	return sent
}
