package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stalledWriter takes nothing until it is released.
type stalledWriter struct {
	released chan struct{}
	out      bytes.Buffer
}

func (w *stalledWriter) Write(line []byte) (int, error) {
	<-w.released
	return w.out.Write(line)
}

func TestNewAsync_EmitDoesNotWaitForItsWriter(t *testing.T) {
	const excess = 100
	writer := &stalledWriter{released: make(chan struct{})}
	l := NewAsync(writer, "info", "n")
	for range queueLines + excess {
		l.Emit(NodeStarted)
	}
	if got := l.DroppedLines(); got == 0 || got > excess {
		t.Errorf("%d lines were dropped", got)
	}
	if got := l.Counts()[NodeStarted.Name]; got != queueLines+excess {
		t.Errorf("%d events were counted", got)
	}
	l.Close(time.Millisecond) // does not wait for the writer either
	l.Emit(NodeStopped)
	close(writer.released)
}

func TestClose_WritesWhatWaits(t *testing.T) {
	writer := &stalledWriter{released: make(chan struct{})}
	l := NewAsync(writer, "info", "n")
	l.Emit(NodeStarted, "first", 1)
	l.Emit(NodeStopped, "second", 2)
	close(writer.released)
	l.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(writer.out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], `"first":1`) || !strings.Contains(lines[1], `"second":2`) {
		t.Errorf("%q", lines)
	}
}
