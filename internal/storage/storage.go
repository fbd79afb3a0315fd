// Package storage keeps a core node's state on disk, in goleveldb.
//
// One task writes. It joins the batches that wait into one (a group commit), numbers it
// and syncs it, so that batches reach the disk in the order in which they were submitted.
// When the folder is opened, a gap in these numbers, or anything else that can't be read,
// shows corruption; a batch that was torn at the very end was never acknowledged, and is
// dropped. A corrupt folder is set aside as a whole and nothing is served from it.
package storage

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// Store is one data folder. Its keys beginning with "~" are its own.
type Store struct {
	env *environment.Environment
	// replacesCorrupt is set by Open alone.
	replacesCorrupt bool
	opening         time.Time

	// access is held for writing while db and files are opened anew, which only the task
	// that writes does. Both are nil when that failed.
	access sync.RWMutex
	db     *leveldb.DB
	files  leveldbstorage.Storage
	// lastSequence numbers the last batch; the task that writes has it to itself.
	lastSequence uint64

	mu      sync.Mutex // guards pending
	pending []*Batch
	wakeup  chan struct{} // pending is not empty

	// writeStarted is when the write under way began, if one is.
	writeStarted atomic.Pointer[time.Time]
	syncCount    atomic.Int64
	failing      atomic.Bool
	corrupted    chan struct{}
}

// Open opens the data folder of the environment's settings and starts the task that
// writes; the folder is closed when the environment ends. A corrupt folder is set aside
// and an empty one opened in its place. Where the disk has no room even for opening, Open
// waits until it has some. Its errors are of the code StorageBroken.
func Open(env *environment.Environment) (*Store, error) {
	s := &Store{env: env, wakeup: make(chan struct{}, 1), opening: time.Now(), corrupted: make(chan struct{})}
	for {
		err := s.openOrQuarantine()
		if err == nil {
			env.Go(s.writeLoop)
			return s, nil
		}
		s.close()
		if !isDiskFull(err) {
			return nil, errcode.New(errcode.StorageBroken, "%s: %v", env.Config.DataFolder, err)
		}
		if !s.failing.Swap(true) {
			env.Events.Emit(eventlog.StoreFailed, "cause", err.Error())
		}
		if !env.Sleep(retryInterval) {
			return nil, errStopping()
		}
	}
}

// Get returns the value of a key, or nil if there is none.
func (s *Store) Get(key string) ([]byte, error) {
	s.access.RLock()
	defer s.access.RUnlock()
	if s.db == nil {
		return nil, errNotOpen()
	}
	value, err := s.db.Get([]byte(key), nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return nil, nil
	}
	return value, err
}

// Scan calls visit for all keys with the prefix, in order, until it returns an error. The
// value is visit's to keep.
func (s *Store) Scan(prefix string, visit func(key string, value []byte) error) error {
	s.access.RLock()
	defer s.access.RUnlock()
	if s.db == nil {
		return errNotOpen()
	}
	iterator := s.db.NewIterator(util.BytesPrefix([]byte(prefix)), nil)
	defer iterator.Release()
	for iterator.Next() {
		if err := visit(string(iterator.Key()), append([]byte(nil), iterator.Value()...)); err != nil {
			return err
		}
	}
	return iterator.Error()
}

// ReplacesCorrupt reports whether this store ever took the place of a corrupt one. Such a
// node may join a fleet but must not found one: its fleet exists, even if the data of all
// members should be corrupt at once.
func (s *Store) ReplacesCorrupt() bool { return s.replacesCorrupt }

// Corrupted is closed when the data is found corrupt while in use. Nothing is written
// after that; the node must end.
func (s *Store) Corrupted() <-chan struct{} { return s.corrupted }

// IsFailing reports whether the disk takes no writes just now.
func (s *Store) IsFailing() bool { return s.failing.Load() }

// StallTime is for how long the write under way has waited on the disk; zero if there is
// none.
func (s *Store) StallTime() time.Duration {
	started := s.writeStarted.Load()
	if started == nil {
		return 0
	}
	return time.Since(*started)
}

// SyncCount is how many times batches were written and synced since Open.
func (s *Store) SyncCount() int64 { return s.syncCount.Load() }

func errStopping() error { return errcode.New(errcode.StorageBroken, "stopping") }
func errNotOpen() error  { return errcode.New(errcode.StorageBroken, "the folder is not open") }
