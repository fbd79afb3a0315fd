// A frame as a line. Its body is encoded already, once for all who get it, and goes
// into the line as it stands: package json would read all of it again for each frame.
package rpc

import (
	"encoding/json"
	"io"
)

// packed is a frame's line in pieces; a large body stays the one that all share.
type packed [][]byte

// joined is up to how large a body is copied, so that the line is one write.
const joined = 64 << 10

func pack(frame *Frame) (packed, error) {
	bare := *frame
	bare.Body = nil
	head, err := json.Marshal(&bare)
	if err != nil {
		return nil, err
	}
	if len(frame.Body) == 0 {
		return packed{append(head, '\n')}, nil
	}
	head = append(head[:len(head)-1], `,"body":`...)
	if len(frame.Body) > joined {
		return packed{head, frame.Body, []byte("}\n")}, nil
	}
	return packed{append(append(head, frame.Body...), "}\n"...)}, nil
}

func (p packed) size() (sum int) {
	for _, piece := range p {
		sum += len(piece)
	}
	return sum
}

func (p packed) write(to io.Writer) error {
	for _, piece := range p {
		if _, err := to.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
