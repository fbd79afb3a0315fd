// Package storage keeps a core node's state in goleveldb. One task writes: it
// gathers what waits into one batch, numbers the batch, and syncs it, so that
// writes reach the disk in the order they were handed in. At the start a gap in
// the numbers, or anything else that can't be read, shows damage; a batch that
// was torn at the very end was never acknowledged and is dropped. Damaged data
// is set aside and never served from.
package storage

import (
	"encoding/binary"
	"errors"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// Store is one data folder.
type Store struct {
	env          *environment.Environment
	db           *leveldb.DB
	files        leveldbstorage.Storage
	mu           sync.Mutex
	pending      []*Batch
	wakeup       chan struct{}
	lastSequence uint64
	syncCount    atomic.Int64
	writeStarted atomic.Int64
	opened       time.Time
	// access is held for writing while the folder is opened anew.
	access  sync.RWMutex
	failing atomic.Bool
	// Corrupted is closed when the data is damaged; nothing is written after it.
	Corrupted chan struct{}
}

// Batch is a batch on its way to the disk.
type Batch struct {
	operations leveldb.Batch
	done       chan struct{}
	stopping   <-chan struct{}
	err        error
}

func (b *Batch) Put(key string, value []byte) { b.operations.Put([]byte(key), value) }
func (b *Batch) Delete(key string)            { b.operations.Delete([]byte(key)) }

// Wait returns when the batch is synced or has failed.
func (b *Batch) Wait() error {
	select {
	case <-b.done:
		return b.err
	case <-b.stopping:
		return errcode.New(errcode.StorageBroken, "stopping")
	}
}

const (
	sequencePrefix  = "~seq/"
	sequenceHistory = 512

	replacesCorruptKey = "after-damage"

	// databaseFolder is older than the package's name; disks have it.
	databaseFolder = "lore"

	// retryInterval is between two tries at a disk that takes nothing.
	retryInterval = 250 * time.Millisecond
)

// Open opens the folder, or sets a damaged one aside and opens an empty one. Where the
// disk has no room even to open it, it waits until there is some.
func Open(env *environment.Environment) (*Store, error) {
	s := &Store{env: env, wakeup: make(chan struct{}, 1), opened: time.Now(), Corrupted: make(chan struct{})}
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
			env.Events.Say(eventlog.StoreFailed, "cause", err.Error())
		}
		if !env.Sleep(retryInterval) {
			return nil, errcode.New(errcode.StorageBroken, "stopping")
		}
	}
}

// openOrQuarantine is one try at the folder.
func (s *Store) openOrQuarantine() error {
	problem := s.openDatabase()
	if problem == nil {
		if s.failing.Swap(false) {
			s.env.Events.Say(eventlog.StoreBack, "after", time.Since(s.opened).String())
		}
		return nil
	}
	s.close()
	if !isCorruption(problem) {
		return problem
	}
	folder := s.env.Config.DataFolder
	quarantine := folder + ".damaged-" + time.Now().Format("20060102-150405")
	s.env.Events.Say(eventlog.StoreDamaged, "folder", folder, "aside", quarantine, "cause", problem.Error())
	if err := s.env.Host.Rename(folder, quarantine); err != nil {
		return errcode.New(errcode.StorageBroken, "%s is damaged (%v) and can't be set aside: %v", folder, problem, err)
	}
	if err := s.openDatabase(); err != nil {
		return err
	}
	return s.db.Put([]byte(replacesCorruptKey), []byte("1"), &opt.WriteOptions{Sync: true})
}

// isDiskFull tells whether a disk takes no more bytes.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// isCorruption tells damaged data from a folder that can't be had now, such as one
// that another process holds: only the former is ever set aside.
func isCorruption(err error) bool {
	return leveldberrors.IsCorrupted(err) || errcode.Is(err, errcode.StorageBroken)
}

func (s *Store) close() {
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
	if s.files != nil {
		s.files.Close()
		s.files = nil
	}
}

func (s *Store) openDatabase() error {
	files, err := s.env.Host.OpenStorage(filepath.Join(s.env.Config.DataFolder, databaseFolder))
	if err != nil {
		return err
	}
	s.files = files
	options := &opt.Options{Strict: opt.StrictManifest | opt.StrictBlockChecksum | opt.StrictReader | opt.StrictCompaction, WriteBuffer: 2 << 20, BlockCacheCapacity: 1 << 20}
	s.db, err = leveldb.Open(files, options)
	if err != nil {
		return err
	}
	var first, last, count uint64
	iterator := s.db.NewIterator(util.BytesPrefix([]byte(sequencePrefix)), nil)
	defer iterator.Release()
	for iterator.Next() {
		n := binary.BigEndian.Uint64(iterator.Key()[len(sequencePrefix):])
		if count == 0 {
			first = n
		}
		last = n
		count++
	}
	if err := iterator.Error(); err != nil {
		return err
	}
	if count > 0 && last-first+1 != count {
		return errcode.New(errcode.StorageBroken, "batches are missing between %d and %d", first, last)
	}
	s.lastSequence = last
	return nil
}

// ReplacesCorrupt tells whether this store took the place of a damaged one. Such
// a node may join a fleet, but must not found one: its fleet exists, even if
// all its members should be damaged at once.
func (s *Store) ReplacesCorrupt() bool {
	value, _ := s.Get(replacesCorruptKey)
	return value != nil
}

// NewBatch starts a batch.
func (s *Store) NewBatch() *Batch { return &Batch{done: make(chan struct{}), stopping: s.env.Done()} }

// Submit puts a batch into the queue; the order of handing is the order on disk.
func (s *Store) Submit(batch *Batch) {
	s.mu.Lock()
	s.pending = append(s.pending, batch)
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop is the one task that writes: what waits goes to the disk as one batch.
func (s *Store) writeLoop() {
	defer s.close()
	for {
		select {
		case <-s.env.Done():
			s.failPending(errcode.New(errcode.StorageBroken, "stopping"))
			return
		case <-s.wakeup:
		}
		s.mu.Lock()
		queue := s.pending
		s.pending = nil
		s.mu.Unlock()
		if len(queue) == 0 {
			continue
		}
		started := time.Now()
		s.writeStarted.Store(int64(started.Sub(s.opened)) + 1)
		err := s.persist(s.coalesce(queue))
		s.writeStarted.Store(0)
		s.env.Latencies.Sync.Take(time.Since(started))
		s.syncCount.Add(1)
		for _, batch := range queue {
			batch.err = err
			close(batch.done)
		}
		if err != nil {
			s.failPending(err)
			return
		}
	}
}

// coalesce joins batches into one, under the next number.
func (s *Store) coalesce(queue []*Batch) *leveldb.Batch {
	merged := &leveldb.Batch{}
	for _, batch := range queue {
		batch.operations.Replay(merged)
	}
	s.lastSequence++
	merged.Put(sequenceKey(s.lastSequence), nil)
	if s.lastSequence > sequenceHistory {
		merged.Delete(sequenceKey(s.lastSequence - sequenceHistory))
	}
	return merged
}

// persist writes a batch and syncs it. A disk that takes nothing is tried again until
// it does: whoever waits for the batch goes on waiting, as with a stall, and nothing
// that comes after it overtakes it. Only damage ends the writing.
func (s *Store) persist(batch *leveldb.Batch) error {
	err := s.db.Write(batch, &opt.WriteOptions{Sync: true})
	if err == nil {
		return nil
	}
	s.env.Events.Say(eventlog.StoreFailed, "cause", err.Error())
	s.failing.Store(true)
	started := time.Now()
	for s.env.Sleep(retryInterval) {
		// The journal takes nothing after a failed write; the folder is opened anew.
		if err = s.reopen(); err == nil {
			err = s.db.Write(batch, &opt.WriteOptions{Sync: true})
		}
		if err == nil {
			s.failing.Store(false)
			s.env.Events.Say(eventlog.StoreBack, "after", time.Since(started).String())
			return nil
		}
		if isCorruption(err) {
			s.env.Events.Say(eventlog.StoreFailed, "cause", err.Error())
			close(s.Corrupted)
			<-s.env.Done()
			return errcode.New(errcode.StorageBroken, "%v", err)
		}
	}
	return errcode.New(errcode.StorageBroken, "stopping")
}

// reopen closes the folder and opens it again, to the same state.
func (s *Store) reopen() error {
	s.access.Lock()
	defer s.access.Unlock()
	s.close()
	seq := s.lastSequence
	err := s.openDatabase()
	s.lastSequence = seq
	return err
}

func (s *Store) failPending(err error) {
	s.mu.Lock()
	queue := s.pending
	s.pending = nil
	s.mu.Unlock()
	for _, batch := range queue {
		batch.err = err
		close(batch.done)
	}
}

func sequenceKey(n uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(sequencePrefix), n)
}

// StallTime is for how long the write under way has been waiting on the disk.
func (s *Store) StallTime() time.Duration {
	since := s.writeStarted.Load()
	if since == 0 {
		return 0
	}
	return time.Since(s.opened) - time.Duration(since)
}

// IsFailing tells whether the disk takes nothing just now.
func (s *Store) IsFailing() bool { return s.failing.Load() }

// SyncCount is how many batches were synced.
func (s *Store) SyncCount() int64 { return s.syncCount.Load() }

// Get reads one value; none is nil.
func (s *Store) Get(key string) ([]byte, error) {
	s.access.RLock()
	defer s.access.RUnlock()
	if s.db == nil {
		return nil, errcode.New(errcode.StorageBroken, "the folder is not open")
	}
	value, err := s.db.Get([]byte(key), nil)
	if err == leveldb.ErrNotFound {
		return nil, nil
	}
	return value, err
}

// Scan visits all keys under a prefix in order.
func (s *Store) Scan(prefix string, visit func(key string, value []byte) error) error {
	s.access.RLock()
	defer s.access.RUnlock()
	if s.db == nil {
		return errcode.New(errcode.StorageBroken, "the folder is not open")
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
