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
	minCompressedSize = 2048 // bytes from which on groups are packed
	maxCompressedKept = 16
)

// fetch asks for groups and unpacks them.
func (c *Client) fetch(ctx context.Context, address string, request *rpc.FetchRequest) (*rpc.FetchResponse, error) {
	request.AcceptsPacked = true
	response := &rpc.FetchResponse{}
	if err := c.transport.Call(ctx, address, "flow.fetch", request, response); err != nil {
		return nil, err
	}
	if len(response.Packed) == 0 {
		return response, nil
	}
	groups, err := inflate(response.Packed, int64(c.env.Config.WireLine))
	if err != nil {
		return nil, errcode.New(errcode.BadMessage, "flow.fetch from %s: %v", address, err)
	}
	response.Groups, response.Packed = groups, nil
	return response, nil
}

// compress replaces the groups of a receipt by their packed form, if that is shorter.
func (s *Server) compress(response *rpc.FetchResponse) {
	size, key := 0, strings.Builder{}
	for _, name := range slices.Sorted(maps.Keys(response.Groups)) {
		group := response.Groups[name]
		size += len(group.Data) + targetSizeEstimate*len(group.PutTargets) + instanceSizeEstimate*len(group.RemovedTargets)
		// A version is not in the digest: the same text may come again under another.
		stamp, _ := json.Marshal(group.Index)
		key.WriteString(name + " " + group.Digest + " " + group.BaseDigest + " " + string(stamp) + "\n")
	}
	if size < minCompressedSize {
		return
	}
	s.mu.Lock()
	packed, ok := s.compressed[key.String()]
	s.mu.Unlock()
	if !ok {
		raw, err := json.Marshal(response.Groups)
		if err != nil {
			return
		}
		packed = deflate(raw)
		s.mu.Lock()
		if len(s.compressed) >= maxCompressedKept || s.compressed == nil {
			s.compressed = map[string][]byte{}
		}
		s.compressed[key.String()] = packed
		s.mu.Unlock()
	}
	response.Groups, response.Packed = nil, packed
}

func deflate(raw []byte) []byte {
	out := &bytes.Buffer{}
	w, _ := flate.NewWriter(out, flate.BestSpeed)
	w.Write(raw)
	w.Close()
	return out.Bytes()
}

func inflate(packed []byte, limit int64) (map[string]rpc.Group, error) {
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
