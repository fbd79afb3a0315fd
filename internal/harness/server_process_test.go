package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// A server of another process records in the time of the history that it belongs to, and when its
// machine received what it executed.
func TestRunServer_RecordsInTheTimeOfItsHistory(t *testing.T) {
	const age = time.Hour
	address := unusedAddress(t)
	description, err := json.Marshal(serverConfig{HistoryStart: time.Now().Add(-age), Service: "reads", Address: address, Nodes: []string{unusedAddress(t)}})
	if err != nil {
		t.Fatal(err)
	}
	input, end := io.Pipe()
	var output bytes.Buffer
	done := make(chan error, 1)
	go func() { done <- RunServer(t.Context(), input, &output) }()
	if _, err := end.Write(description); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for response := (*http.Response)(nil); response == nil; {
		response, err = http.Get(fmt.Sprintf("http://%s/reads/x", address))
		if err == nil {
			response.Body.Close()
		} else if time.Since(began) > 10*time.Second {
			t.Fatal(err)
		}
	}
	end.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	var records []checker.Record
	if err := json.Unmarshal(output.Bytes(), &records); err != nil || len(records) != 1 {
		t.Fatal(records, err)
	}
	record := records[0]
	isOrdered := age <= record.Received && record.Received <= record.Start && record.Start <= record.At && record.At < age+time.Minute
	if record.Kind != checker.RequestExecuted || !isOrdered {
		t.Errorf("%+v", record)
	}
}

// unusedAddress is one that nobody listens at.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
