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

// testTimeout limits the time for starting or stopping a node.
const testTimeout = 10 * time.Second

// A log file that blocks writes, as on a disk that hangs, must not block the node. When each
// goroutine wrote its own log lines, all of them blocked, including those that respond to requests
// and that stop the node.
func TestNode_ServesAndStopsWhileLogFileBlocks(t *testing.T) {
	ended := startNode(t, "--set", "log.file="+fullPipe(t))
	stopNode(t, ended)
}

// A settings file whose reading blocks, as on a disk that hangs, must not block the stop. The
// goroutine that reloaded the settings used to be the one that handles SIGTERM.
func TestNode_StopsWhileSettingsReloadBlocks(t *testing.T) {
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
	// Opening the pipe for writing blocks until the node has opened it for reading.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	stopNode(t, ended)
}

// startNode runs a node in this process and returns once it serves. The channel receives the
// result of the run.
func startNode(t *testing.T, args ...string) <-chan error {
	t.Helper()
	api := unusedAddress(t)
	args = append([]string{"node", "--set", "name=proxy1", "--set", "seeds=" + unusedAddress(t), "--set", "peer.address=" + unusedAddress(t),
		"--set", "api.address=" + api, "--set", "proxy.address=" + unusedAddress(t), "--set", "shutdown.grace_period=2s", "--set", "proxy.drain_delay=100ms"}, args...)
	ended := make(chan error, 1)
	go func() { ended <- run(args...) }()
	client := http.Client{Timeout: testTimeout}
	for start := time.Now(); ; {
		response, err := client.Get("http://" + api + "/metrics")
		if err == nil {
			response.Body.Close()
			return ended
		}
		if time.Since(start) > testTimeout {
			t.Fatal("the node did not start serving:", err)
		}
	}
}

// stopNode sends SIGTERM and waits until the node has stopped.
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
	case <-time.After(testTimeout):
		t.Error("the node did not stop")
	}
}

// fullPipe returns the path of a named pipe whose buffer is full, so that writes block.
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

// unusedAddress returns a loopback address with a port that is currently unused.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
