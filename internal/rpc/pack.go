// A frame as a line. Its body is encoded already, once for all who get it, and goes
// into the line as it stands: package json would read all of it again for each frame.
package rpc

import (
	"encoding/json"
	"io"
)

// encodedFrame is a frame's line in pieces; a large body stays the one that all share.
type encodedFrame [][]byte

// maxJoinedBody is up to how large a body is copied, so that the line is one write.
const maxJoinedBody = 64 << 10

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

func (f encodedFrame) size() (sum int) {
	for _, piece := range f {
		sum += len(piece)
	}
	return sum
}

func (f encodedFrame) write(to io.Writer) error {
	for _, piece := range f {
		if _, err := to.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
