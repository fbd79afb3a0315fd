package rpc

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Version is that of the protocol. It grows when a message no longer means to an older
// build what it means to this one; peers of another version are refused.
const Version = 3

const (
	// maxJoinedBody is the length of a body, in bytes, up to which it is copied so that
	// the frame is one write.
	maxJoinedBody = 64 << 10
	// readBufferSize is that of each connection, in bytes; longer lines are put together.
	readBufferSize = 16 << 10
)

// encodedFrame is the line of a frame in pieces: a large body is not copied, but stays the
// one that all who get it share.
type encodedFrame [][]byte

// encodeFrame marshals a frame. Its body is JSON already, marshalled once for all who get
// it, and is put into the line as it stands: json.Marshal would check and copy all of it
// again for each frame.
func encodeFrame(frame *Frame) (encodedFrame, error) {
	bare := *frame
	bare.Body = nil
	head, err := json.Marshal(&bare)
	if err != nil {
		return nil, err
	}
	if len(frame.Body) == 0 {
		return encodedFrame{append(head, '\n')}, nil
	}
	head = append(head[:len(head)-1], `,"body":`...)
	if len(frame.Body) > maxJoinedBody {
		return encodedFrame{head, frame.Body, []byte("}\n")}, nil
	}
	return encodedFrame{append(append(head, frame.Body...), "}\n"...)}, nil
}

// size returns the length in bytes.
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

// readLine returns the next line, with its end. It is valid until the next read. A line
// longer than limit bytes is an errcode.MessageTooLong.
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
