// Package distribution carries the configuration from the control nodes to the proxies.
//
// It follows "Soul Gateway Learns Http Long Polling Analysis 02", called the paper in this
// package. As there, the configuration is cut into groups; a cache holds each group with
// its MD5 digest and version; and a proxy
//
//   - fetches all groups at its start, once, trying the control nodes in list order
//     (HttpSyncDataService#start, fetchGroupConfig): Client.Start;
//   - runs one listener for each control node (HttpLongPollingTask), whose request names
//     the digest and version of each group it holds, and which the control node holds until
//     something changed (doLongPolling): Client.poll and Server.listen;
//   - fetches only the groups that are reported as changed (doFetchGroupConfig);
//   - replaces a group only by a newer one and then notifies the subscribers
//     (AbstractDataRefresh#refresh): Cache.Stage and Cache.Activate.
//
// It departs from the paper in these points, each with its reason in docs/design.md. The
// version is an index of the configuration shard's log, not a modification time. Groups are
// staged and come into use together, as one epoch, behind one atomic pointer. The listener
// names its epoch with one digest over all groups, and control nodes answer with what
// changed since. Target lists travel as differences, large answers deflated, and only so
// many full fetches run at once. Pauses are shorter than the paper's. And beside the
// listeners a proxy sends pulses, by which it knows how fresh its configuration is.
package distribution

// The kinds of the messages.
const (
	kindListen      = "flow.listen"
	kindFetch       = "flow.fetch"
	kindPulse       = "flow.pulse"
	kindLeaderPulse = "flow.owner" // from a control node to the configuration shard's leader
)
