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
	// minCompressedSize is the size in bytes from which groups are compressed.
	minCompressedSize = 2048
	// maxCachedResponses limits the compressed responses cached for reuse.
	maxCachedResponses = 16
)

// compressor compresses the groups of fetch responses with DEFLATE (RFC 1951) for proxies that
// accept it. Uncompressed, a configuration of many similar routes would occupy a slow link
// for seconds and delay all small messages behind it.
type compressor struct {
	cache *boundedCache[[]byte]
}

func newCompressor() *compressor {
	return &compressor{cache: newBoundedCache[[]byte](maxCachedResponses)}
}

// compress replaces Groups by their compressed form in Packed if they have an estimated size
// of at least minCompressedSize.
func (c *compressor) compress(response *rpc.FetchResponse) {
	size, key := 0, strings.Builder{}
	for _, name := range slices.Sorted(maps.Keys(response.Groups)) {
		group := response.Groups[name]
		size += sizeEstimate(&group)
		// The digest does not cover the index: the same data can reappear at a later index.
		fmt.Fprintf(&key, "%s %s %s %v\n", name, group.Digest, group.BaseDigest, group.Index)
	}
	if size < minCompressedSize {
		return
	}
	compressed, ok := c.cache.get(key.String())
	if !ok {
		encoded, err := json.Marshal(response.Groups)
		if err != nil {
			return
		}
		compressed = deflate(encoded)
		c.cache.put(key.String(), compressed)
	}
	response.Groups, response.Packed = nil, compressed
}

func deflate(data []byte) []byte {
	buffer := &bytes.Buffer{}
	// Errors are impossible: the level is valid, and writes to a buffer do not fail.
	w, _ := flate.NewWriter(buffer, flate.BestSpeed)
	w.Write(data)
	w.Close()
	return buffer.Bytes()
}

// inflate decompresses and decodes the groups of FetchResponse.Packed. It returns
// errcode.MessageTooLong if they are larger than limit bytes uncompressed.
func inflate(compressed []byte, limit int64) (map[string]rpc.Group, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errcode.New(errcode.MessageTooLong, "decompressed groups exceed %d bytes", limit)
	}
	var groups map[string]rpc.Group
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, err
	}
	return groups, nil
}

// fetch fetches groups from a control node and decompresses them.
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
