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

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = 5 * time.Second

// LogFlushTime limits how long an exiting process waits for its last log lines to be written.
const LogFlushTime = 100 * time.Millisecond

// Signals receives the signals that a node handles. Stop and reload signals have separate
// channels, so that a burst of one kind never displaces the other.
type Signals struct {
	stop   chan os.Signal // SIGTERM, SIGINT
	reload chan os.Signal // SIGHUP
}

// NotifySignals starts delivering this process's signals. Call it first: until then a signal
// terminates the process.
func NotifySignals() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// RunConfig configures Run.
type RunConfig struct {
	Signals   *Signals
	Listeners []Listener
	// SettingsFile is polled for changes; no file is polled if it is empty.
	SettingsFile string
	// Reload applies the settings that may change while the node runs. It is called on
	// SIGHUP and when the settings file has changed.
	Reload func(*Node)
}

// Run starts a node and runs it until SIGTERM or SIGINT, which stop it gracefully, or until its
// disk fails. A stop signal received while the data folder is being opened, which may block
// while the disk is full, makes Run return at once. One received during the rest of the start
// is handled after it. The environment is shut down when Run returns.
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

// openUntilStopped calls open. Node and error are nil if a stop signal is received first.
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
	case r := <-opened:
		return r.node, r.err
	case <-signals.stop:
		return nil, nil
	}
}

// runUntilStopped handles signals until one stops the node or its disk fails.
func (n *Node) runUntilStopped(options RunConfig) error {
	var diskFailed <-chan struct{} // nil, and thus never ready, without a disk
	if n.Store != nil {
		diskFailed = n.Store.Corrupted()
	}
	// A plain goroutine, which shutdown doesn't wait for: reading a file can't be canceled.
	go n.reloadSettings(options)
	select {
	case <-options.Signals.stop:
		n.Stop()
		return nil
	case <-diskFailed:
		n.Env.Shutdown()
		return errcode.New(errcode.StorageFailed, "%s", n.Env.Config.DataFolder)
	}
}

// reloadSettings calls Reload on each reload signal and when the settings file has changed,
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
			if current := modificationTime(options.SettingsFile); current != modified {
				modified = current
				options.Reload(n)
			}
		}
	}
}

// ApplySettings applies the settings that may change while a node runs: the seeds.
func (n *Node) ApplySettings(settings *config.Settings) {
	n.Members.SetSeeds(settings.Seeds)
	n.Env.Events.Emit(eventlog.SettingsReloaded, "seeds", len(settings.Seeds))
}

// RejectSettings logs that changed settings are invalid and were not applied.
func (n *Node) RejectSettings(err error) {
	n.Env.Events.Emit(eventlog.SettingsRejected, "cause", err.Error())
}

// modificationTime returns a file's modification time, or "" if there is no such file.
func modificationTime(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return info.ModTime().String()
}
