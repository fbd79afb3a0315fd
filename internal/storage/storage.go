// Package storage keeps a core node's state on disk, in goleveldb.
//
// A single writer task joins all pending batches into one (group commit), numbers it and syncs
// it, so that batches reach the disk in the order of submission. On opening, a gap in these
// numbers or unreadable data is treated as corruption. A torn batch at the end of the journal
// was never acknowledged and is dropped. A corrupt folder is quarantined: it is renamed as a
// whole, and nothing is served from it.
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

// Store is an open data folder. Keys that begin with "~" are reserved for the package.
type Store struct {
	env                  *environment.Environment
	replacesCorruptStore bool // set only by Open
	openStarted          time.Time

	// dbMu is locked for writing while the writer task reopens db and fileStorage. Both may be
	// nil after reopening failed.
	dbMu        sync.RWMutex
	db          *leveldb.DB
	fileStorage leveldbstorage.Storage
	// lastSequence is the number of the last batch; only the writer task uses it after Open.
	lastSequence uint64

	mu      sync.Mutex // guards pending
	pending []*Batch
	wakeup  chan struct{} // signaled when pending is not empty

	// writeStarted is the start of the write in progress, nil if there is none.
	writeStarted atomic.Pointer[time.Time]
	syncCount    atomic.Int64
	failing      atomic.Bool
	corrupted    chan struct{}
}

// Open opens the data folder named in the settings and starts the writer task, which closes the
// folder when the environment is done. A corrupt folder is quarantined and replaced by an empty
// one. While the disk is too full to open the folder, Open retries. Errors have the code
// StorageFailed.
func Open(env *environment.Environment) (*Store, error) {
	s := &Store{env: env, wakeup: make(chan struct{}, 1), openStarted: time.Now(), corrupted: make(chan struct{})}
	for {
		err := s.openOrQuarantine()
		if err == nil {
			env.Go(s.writeLoop)
			return s, nil
		}
		s.close()
		if !isDiskFull(err) {
			return nil, errcode.New(errcode.StorageFailed, "%s: %v", env.Config.DataFolder, err)
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
	s.dbMu.RLock()
	defer s.dbMu.RUnlock()
	if s.db == nil {
		return nil, errNotOpen()
	}
	value, err := s.db.Get([]byte(key), nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return nil, nil
	}
	return value, err
}

// Scan calls visit for all keys with the prefix, in order, until visit returns an error, which
// Scan returns. visit may retain the value.
func (s *Store) Scan(prefix string, visit func(key string, value []byte) error) error {
	s.dbMu.RLock()
	defer s.dbMu.RUnlock()
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

// ReplacesCorruptStore reports whether this store was created in place of a corrupt one, now or
// in an earlier run. Such a node may join a cluster but must not bootstrap one: its cluster
// exists, even if the data of all members is corrupt at once.
func (s *Store) ReplacesCorruptStore() bool { return s.replacesCorruptStore }

// Corrupted returns a channel that is closed when the data is found corrupt while in use.
// Nothing is written after that; the node must shut down.
func (s *Store) Corrupted() <-chan struct{} { return s.corrupted }

// IsFailing reports whether writes to the disk currently fail and are retried.
func (s *Store) IsFailing() bool { return s.failing.Load() }

// StallTime returns how long the write in progress has taken so far, zero if there is none.
func (s *Store) StallTime() time.Duration {
	started := s.writeStarted.Load()
	if started == nil {
		return 0
	}
	return time.Since(*started)
}

// SyncCount returns the number of group commits since Open.
func (s *Store) SyncCount() int64 { return s.syncCount.Load() }

func errStopping() error { return errcode.New(errcode.StorageFailed, "the node is stopping") }
func errNotOpen() error  { return errcode.New(errcode.StorageFailed, "the data folder is not open") }
