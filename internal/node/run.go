package node

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// settingsPollInterval is between two looks whether the settings file has changed.
const settingsPollInterval = 5 * time.Second

// LogFlushTime is how long a process that ends waits until its last log lines are written.
const LogFlushTime = 100 * time.Millisecond

// Signals are those that a node heeds. The two kinds have a channel each, so that a series of
// the one never displaces the other.
type Signals struct {
	stop   chan os.Signal // SIGTERM, SIGINT
	reload chan os.Signal // SIGHUP
}

// NotifySignals has this process's signals delivered. It is called first of all, for a signal
// that nobody waits for ends the process.
func NotifySignals() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// RunConfig is what Run needs beside an environment.
type RunConfig struct {
	Signals   *Signals
	Listeners []Listener
	// SettingsFile is looked at for changes without a signal; none if empty.
	SettingsFile string
	// Reload takes over what may change while the node runs. It is called at SIGHUP, and
	// when the settings file has changed.
	Reload func(*Node)
}

// Run brings a node up, and keeps it until SIGTERM or SIGINT, which stop it as planned, or
// until its disk fails. A signal that comes while the data folder is opened, which may wait
// for room on the disk, ends the run at once; one that comes later finds a node that serves,
// and that is stopped like any other. The environment is shut down when it returns.
func Run(env *environment.Environment, options RunConfig) error {
	n, err := openUntilStopped(env, options.Signals)
	if err == nil && n != nil {
		err = n.start(options.Listeners)
	}
	if err != nil || n == nil {
		env.Shutdown()
		return err
	}
	return n.runUntilStopped(options)
}

// openUntilStopped opens a node's data folder; the node is nil if a signal came before.
func openUntilStopped(env *environment.Environment, signals *Signals) (*Node, error) {
	type result struct {
		node *Node
		err  error
	}
	opened := make(chan result, 1)
	env.Go(func() {
		n, err := open(env)
		opened <- result{n, err}
	})
	select {
	case got := <-opened:
		return got.node, got.err
	case <-signals.stop:
		return nil, nil
	}
}

// runUntilStopped heeds signals until one stops the node, or its disk fails.
func (n *Node) runUntilStopped(options RunConfig) error {
	var diskFailed <-chan struct{} // never, without a disk
	if n.Store != nil {
		diskFailed = n.Store.Corrupted()
	}
	// Nobody waits for this task: a file that is being read can't be given up.
	go n.reloadSettings(options)
	select {
	case <-options.Signals.stop:
		n.Stop()
		return nil
	case <-diskFailed:
		n.Env.Shutdown()
		return errcode.New(errcode.StorageBroken, "%s", n.Env.Config.DataFolder)
	}
}

// reloadSettings reads the settings again at each signal to do so, and when their file has changed,
// until the environment ends.
func (n *Node) reloadSettings(options RunConfig) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	modified := modificationTime(options.SettingsFile)
	for {
		select {
		case <-n.Env.Done():
			return
		case <-options.Signals.reload:
			options.Reload(n)
		case <-poll.C:
			if now := modificationTime(options.SettingsFile); now != modified {
				modified = now
				options.Reload(n)
			}
		}
	}
}

// ApplySettings takes over what may change while a node runs: the addresses that it asks first.
func (n *Node) ApplySettings(changed *config.Settings) {
	n.Members.SetSeeds(changed.Seeds)
	n.Env.Events.Emit(eventlog.SettingsReloaded, "seeds", len(changed.Seeds))
}

// RejectSettings logs that changed settings have faults. They change nothing.
func (n *Node) RejectSettings(err error) {
	n.Env.Events.Emit(eventlog.SettingsRejected, "cause", err.Error())
}

// modificationTime tells one state of a file from another. It is empty if there is no file.
func modificationTime(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return info.ModTime().String()
}
