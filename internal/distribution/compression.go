package distribution

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// minCompressedSize is from how many bytes on groups are deflated.
	minCompressedSize = 2048
	// maxCompressedKept is how many deflated answers are kept for the next proxy that asks.
	maxCompressedKept = 16
)

// compressor deflates the groups of fetch responses (RFC 1951) for proxies that accept it. On
// a narrow link a configuration of many routes, much alike, would fill the link for seconds,
// and all small messages would wait behind it.
type compressor struct {
	kept *boundedCache[[]byte]
}

func newCompressor() *compressor {
	return &compressor{kept: newBoundedCache[[]byte](maxCompressedKept)}
}

// compress replaces the groups of a response by their deflated form, if they are large.
func (c *compressor) compress(response *rpc.FetchResponse) {
	size, key := 0, strings.Builder{}
	for _, name := range slices.Sorted(maps.Keys(response.Groups)) {
		group := response.Groups[name]
		size += sizeEstimate(&group)
		// The index is not in the digest: the same data may come again under another.
		fmt.Fprintf(&key, "%s %s %s %v\n", name, group.Digest, group.BaseDigest, group.Index)
	}
	if size < minCompressedSize {
		return
	}
	packed, ok := c.kept.get(key.String())
	if !ok {
		encoded, err := json.Marshal(response.Groups)
		if err != nil {
			return
		}
		packed = deflate(encoded)
		c.kept.put(key.String(), packed)
	}
	response.Groups, response.Packed = nil, packed
}

func deflate(data []byte) []byte {
	out := &bytes.Buffer{}
	// Neither the level nor a buffer can fail.
	w, _ := flate.NewWriter(out, flate.BestSpeed)
	w.Write(data)
	w.Close()
	return out.Bytes()
}

// inflate returns the groups of a response's Packed. More than limit bytes of them are an
// errcode.MessageTooLong.
func inflate(packed []byte, limit int64) (map[string]rpc.Group, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errcode.New(errcode.MessageTooLong, "over %d bytes", limit)
	}
	var groups map[string]rpc.Group
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, err
	}
	return groups, nil
}

// fetch fetches groups from a control node, and inflates them.
func (c *Client) fetch(ctx context.Context, address string, request *rpc.FetchRequest) (*rpc.FetchResponse, error) {
	request.AcceptsPacked = true
	response := &rpc.FetchResponse{}
	if err := c.transport.Call(ctx, address, kindFetch, request, response); err != nil {
		return nil, err
	}
	if len(response.Packed) == 0 {
		return response, nil
	}
	groups, err := inflate(response.Packed, int64(c.env.Config.PeerMaxMessageBytes))
	if err != nil {
		return nil, errcode.New(errcode.InvalidMessage, "%s from %s: %v", kindFetch, address, err)
	}
	response.Groups, response.Packed = groups, nil
	return response, nil
}
