package rpc

import "sync/atomic"

// Suffixes of the kinds that Traffic counts apart.
const (
	responseSuffix    = ".receipt"
	betweenZoneSuffix = " between"
)

// trafficCounter counts the messages of one kind that were sent.
type trafficCounter struct {
	messages, bytes atomic.Int64
}

// RecordSent counts a message sent to an address. Other packages call it for what they
// send by themselves, such as datagrams.
func (t *Transport) RecordSent(kind, address string, bytes int) {
	if t.IsSameZone != nil && !t.IsSameZone(address) {
		kind += betweenZoneSuffix
	}
	counter, ok := t.traffic.Load(kind)
	if !ok {
		counter, _ = t.traffic.LoadOrStore(kind, &trafficCounter{})
	}
	counter.(*trafficCounter).messages.Add(1)
	counter.(*trafficCounter).bytes.Add(int64(bytes))
}

// Traffic returns the messages and the bytes sent so far, by kind. A kind that ends in
// ".receipt" counts responses, one that ends in " between" what went to another zone.
func (t *Transport) Traffic() map[string][2]int64 {
	sent := map[string][2]int64{}
	t.traffic.Range(func(kind, counter any) bool {
		c := counter.(*trafficCounter)
		sent[kind.(string)] = [2]int64{c.messages.Load(), c.bytes.Load()}
		return true
	})
	return sent
}
