// Package distribution transfers the configuration from the control nodes to the proxies by
// long polling.
//
// It follows "Soul Gateway Learns Http Long Polling Analysis 02", called the paper in this
// package. As in the paper, the configuration is divided into groups, and a cache stores each
// group with its MD5 digest and version. A proxy
//
//   - fetches all groups once at start, trying the control nodes in list order
//     (HttpSyncDataService#start, fetchGroupConfig): Client.Start;
//   - runs one listener for each control node (HttpLongPollingTask). Its request contains the
//     digest and version of each cached group, and the control node delays the response until
//     something changes (doLongPolling): Client.poll and Server.listen;
//   - fetches only the groups reported as changed (doFetchGroupConfig): Client.fetchChanged;
//   - replaces a group only by a newer one and then notifies the subscribers
//     (AbstractDataRefresh#refresh): Cache.Stage and Cache.Activate.
//
// It differs from the paper as follows; docs/design.md gives the reasons. The version is an
// index of the configuration shard's log, not a modification time. Groups are staged and
// activated together as one epoch, by one atomic pointer. A listener identifies its epoch by
// one digest over all groups, and the control node responds with the changes since that epoch.
// Target lists are sent as deltas, large responses are compressed, and the number of
// concurrent full fetches is limited. Retry and polling pauses are shorter. In addition to the
// listeners, each proxy sends periodic freshness requests (renewals), which confirm how
// recent its configuration is.
package distribution

// Message kinds.
const (
	kindListen          = "flow.listen"
	kindFetch           = "flow.fetch"
	kindFreshness       = "flow.pulse"
	kindLeaderFreshness = "flow.owner" // from a control node to the configuration shard's leader
)
