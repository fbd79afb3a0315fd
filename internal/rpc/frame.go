package rpc

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Version is the protocol version. It is increased when older builds would misinterpret a
// message. Requests and responses of any other version are rejected.
const Version = 3

const (
	// maxInlineBodyBytes is the maximum length of a body that is copied into its frame, so
	// that the frame is written at once.
	maxInlineBodyBytes = 64 << 10
	// readBufferSize is the size in bytes of each connection's read buffer. Longer lines are
	// assembled from several reads.
	readBufferSize = 16 << 10
)

// encodedFrame is the encoded line of a frame in pieces. A large body is a piece of its
// own, so that it is shared between recipients instead of copied.
type encodedFrame [][]byte

// encodeFrame encodes a frame. It inserts the body, which already is JSON, without changes,
// since json.Marshal would validate and copy it for each recipient.
func encodeFrame(frame *Frame) (encodedFrame, error) {
	header := *frame
	header.Body = nil
	line, err := json.Marshal(&header)
	if err != nil {
		return nil, err
	}
	if len(frame.Body) == 0 {
		return encodedFrame{append(line, '\n')}, nil
	}
	line = append(line[:len(line)-1], `,"body":`...)
	if len(frame.Body) > maxInlineBodyBytes {
		return encodedFrame{line, frame.Body, []byte("}\n")}, nil
	}
	return encodedFrame{append(append(line, frame.Body...), "}\n"...)}, nil
}

// size returns the total length in bytes.
func (f encodedFrame) size() (sum int) {
	for _, piece := range f {
		sum += len(piece)
	}
	return sum
}

func (f encodedFrame) writeTo(w io.Writer) error {
	for _, piece := range f {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// readLine returns the next line including the newline. The slice is valid until the next
// read. A line longer than limit bytes yields errcode.MessageTooLong.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		chunk, err := reader.ReadSlice('\n')
		if err == nil && line == nil {
			return chunk, nil
		}
		line = append(line, chunk...)
		if len(line) > limit {
			return nil, errcode.New(errcode.MessageTooLong, "over %d bytes", limit)
		}
		if err == nil {
			return line, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}
