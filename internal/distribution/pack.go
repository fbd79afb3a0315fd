// What a fetch brings goes deflated to an asker that says it can read it: on a narrow
// link a configuration of many routes, much alike, would fill the link for seconds, and
// all that is small would wait behind it. What was packed is kept for the next asker.
package distribution

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	packLeast = 2048 // bytes from which on groups are packed
	packsKept = 16
)

// fetch asks for groups and unpacks them.
func (c *Client) fetch(ctx context.Context, address string, ask *rpc.FetchRequest) (*rpc.FetchResponse, error) {
	ask.AcceptsPacked = true
	receipt := &rpc.FetchResponse{}
	if err := c.w.Ask(ctx, address, "flow.fetch", ask, receipt); err != nil {
		return nil, err
	}
	if len(receipt.Packed) == 0 {
		return receipt, nil
	}
	groups, err := unpack(receipt.Packed, int64(c.r.Config.WireLine))
	if err != nil {
		return nil, errcode.New(errcode.BadMessage, "flow.fetch from %s: %v", address, err)
	}
	receipt.Groups, receipt.Packed = groups, nil
	return receipt, nil
}

// pack replaces the groups of a receipt by their packed form, if that is shorter.
func (s *Server) pack(receipt *rpc.FetchResponse) {
	size, key := 0, strings.Builder{}
	for _, name := range slices.Sorted(maps.Keys(receipt.Groups)) {
		group := receipt.Groups[name]
		size += len(group.Data) + targetSize*len(group.PutTargets) + instanceSize*len(group.RemovedTargets)
		// A version is not in the digest: the same text may come again under another.
		stamp, _ := json.Marshal(group.Index)
		key.WriteString(name + " " + group.Digest + " " + group.BaseDigest + " " + string(stamp) + "\n")
	}
	if size < packLeast {
		return
	}
	s.mu.Lock()
	packed, ok := s.packs[key.String()]
	s.mu.Unlock()
	if !ok {
		raw, err := json.Marshal(receipt.Groups)
		if err != nil {
			return
		}
		packed = deflate(raw)
		s.mu.Lock()
		if len(s.packs) >= packsKept || s.packs == nil {
			s.packs = map[string][]byte{}
		}
		s.packs[key.String()] = packed
		s.mu.Unlock()
	}
	receipt.Groups, receipt.Packed = nil, packed
}

func deflate(raw []byte) []byte {
	out := &bytes.Buffer{}
	w, _ := flate.NewWriter(out, flate.BestSpeed)
	w.Write(raw)
	w.Close()
	return out.Bytes()
}

func unpack(packed []byte, limit int64) (map[string]rpc.Group, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > limit {
		return nil, errcode.New(errcode.LineTooLong, "over %d bytes", limit)
	}
	var groups map[string]rpc.Group
	return groups, json.Unmarshal(raw, &groups)
}
