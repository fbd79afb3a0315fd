package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// testLimit bounds a start or a stop of a node.
const testLimit = 10 * time.Second

// A log that takes no lines, as on a disk that stands still: each line was written by the task that
// had something to tell, so that none of them went on, neither a proxy's answers nor its stop.
func TestNode_ServesAndStopsWhileItsLogTakesNoLines(t *testing.T) {
	ended := startNode(t, "--set", "log.file="+fullPipe(t))
	stopNode(t, ended)
}

// A settings file that can't be read to its end, as on a disk that stands still: the task that read
// it again was the one that heeds SIGTERM.
func TestNode_StopsWhileItsSettingsAreReadAgain(t *testing.T) {
	settings := write(t, "settings.yaml", "strength: 100\n")
	ended := startNode(t, "--props", settings)
	if err := os.Remove(settings); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// Whoever opens the pipe for writing gets on when the node has opened it for reading.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	stopNode(t, ended)
}

// startNode runs a node in this process and returns when it serves; its end is sent.
func startNode(t *testing.T, args ...string) <-chan error {
	t.Helper()
	api := unusedAddress(t)
	args = append([]string{"node", "--set", "name=proxy1", "--set", "seeds=" + unusedAddress(t), "--set", "peer.address=" + unusedAddress(t),
		"--set", "api.address=" + api, "--set", "proxy.address=" + unusedAddress(t), "--set", "shutdown.grace_period=2s", "--set", "proxy.drain_delay=100ms"}, args...)
	ended := make(chan error, 1)
	go func() { ended <- run(args...) }()
	client := http.Client{Timeout: testLimit}
	for began := time.Now(); ; {
		response, err := client.Get("http://" + api + "/metrics")
		if err == nil {
			response.Body.Close()
			return ended
		}
		if time.Since(began) > testLimit {
			t.Fatal("the node does not serve:", err)
		}
	}
}

// stopNode has the node stop as planned.
func stopNode(t *testing.T, ended <-chan error) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testLimit):
		t.Error("the node does not stop")
	}
}

// fullPipe is the path of a named pipe that takes no more bytes.
func fullPipe(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	pipe, err := syscall.Open(path, syscall.O_RDWR|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(pipe) })
	for err == nil {
		_, err = syscall.Write(pipe, make([]byte, os.Getpagesize()))
	}
	if !errors.Is(err, syscall.EAGAIN) {
		t.Fatal(err)
	}
	return path
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
