package rpc

import "sync/atomic"

// OtherZoneSuffix ends the kinds of messages that Traffic counts as sent to another zone.
const OtherZoneSuffix = " between"

// responseSuffix ends the kinds that Traffic counts responses under.
const responseSuffix = ".receipt"

// Traffic is what was sent of one kind of messages.
type Traffic struct{ Messages, Bytes int64 }

// trafficCounter counts the messages of one kind that were sent.
type trafficCounter struct {
	messages, bytes atomic.Int64
}

// RecordSent counts a message sent to an address. Other packages call it for what they
// send by themselves, such as datagrams.
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

// Traffic returns what was sent so far, by kind. A kind that ends in ".receipt" counts
// responses, one that ends in OtherZoneSuffix what went to another zone.
func (t *Transport) Traffic() map[string]Traffic {
	sent := map[string]Traffic{}
	t.traffic.Range(func(kind, counter any) bool {
		c := counter.(*trafficCounter)
		sent[kind.(string)] = Traffic{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
		return true
	})
	return sent
}
