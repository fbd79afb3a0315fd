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
	r     *environment.Realm
	db    *leveldb.DB
	stor  leveldbstorage.Storage
	mu    sync.Mutex
	queue []*Batch
	wake  chan struct{}
	seq   uint64
	syncs atomic.Int64
	since atomic.Int64
	start time.Time
	// access is held for writing while the folder is opened anew.
	access    sync.RWMutex
	isFailing atomic.Bool
	// Failed is closed when the data is damaged; nothing is written after it.
	Failed chan struct{}
}

// Batch is a batch on its way to the disk.
type Batch struct {
	batch leveldb.Batch
	done  chan struct{}
	over  <-chan struct{}
	err   error
}

func (w *Batch) Put(key string, value []byte) { w.batch.Put([]byte(key), value) }
func (w *Batch) Delete(key string)            { w.batch.Delete([]byte(key)) }

// Wait returns when the batch is synced or has failed.
func (w *Batch) Wait() error {
	select {
	case <-w.done:
		return w.err
	case <-w.over:
		return errcode.New(errcode.StorageBroken, "stopping")
	}
}

const (
	seqPrefix = "~seq/"
	seqKept   = 512

	afterDamage = "after-damage"

	// folderName is older than the package's name; disks have it.
	folderName = "lore"

	// retryPause is between two tries at a disk that takes nothing.
	retryPause = 250 * time.Millisecond
)

// Open opens the folder, or sets a damaged one aside and opens an empty one. Where the
// disk has no room even to open it, it waits until there is some.
func Open(r *environment.Realm) (*Store, error) {
	l := &Store{r: r, wake: make(chan struct{}, 1), start: time.Now(), Failed: make(chan struct{})}
	for {
		err := l.open()
		if err == nil {
			r.Go(l.write)
			return l, nil
		}
		l.close()
		if !isFull(err) {
			return nil, errcode.New(errcode.StorageBroken, "%s: %v", r.Props.DataFolder, err)
		}
		if !l.isFailing.Swap(true) {
			r.Sign.Say(eventlog.StoreFailed, "cause", err.Error())
		}
		if !r.Pause(retryPause) {
			return nil, errcode.New(errcode.StorageBroken, "stopping")
		}
	}
}

// open is one try at the folder.
func (l *Store) open() error {
	problem := l.load()
	if problem == nil {
		if l.isFailing.Swap(false) {
			l.r.Sign.Say(eventlog.StoreBack, "after", time.Since(l.start).String())
		}
		return nil
	}
	l.close()
	if !isDamage(problem) {
		return problem
	}
	folder := l.r.Props.DataFolder
	aside := folder + ".damaged-" + time.Now().Format("20060102-150405")
	l.r.Sign.Say(eventlog.StoreDamaged, "folder", folder, "aside", aside, "cause", problem.Error())
	if err := l.r.Net.Aside(folder, aside); err != nil {
		return errcode.New(errcode.StorageBroken, "%s is damaged (%v) and can't be set aside: %v", folder, problem, err)
	}
	if err := l.load(); err != nil {
		return err
	}
	return l.db.Put([]byte(afterDamage), []byte("1"), &opt.WriteOptions{Sync: true})
}

// isFull tells whether a disk takes no more bytes.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// isDamage tells damaged data from a folder that can't be had now, such as one
// that another process holds: only the former is ever set aside.
func isDamage(err error) bool {
	return leveldberrors.IsCorrupted(err) || errcode.Is(err, errcode.StorageBroken)
}

func (l *Store) close() {
	if l.db != nil {
		l.db.Close()
		l.db = nil
	}
	if l.stor != nil {
		l.stor.Close()
		l.stor = nil
	}
}

func (l *Store) load() error {
	stor, err := l.r.Net.Store(filepath.Join(l.r.Props.DataFolder, folderName))
	if err != nil {
		return err
	}
	l.stor = stor
	options := &opt.Options{Strict: opt.StrictManifest | opt.StrictBlockChecksum | opt.StrictReader | opt.StrictCompaction, WriteBuffer: 2 << 20, BlockCacheCapacity: 1 << 20}
	l.db, err = leveldb.Open(stor, options)
	if err != nil {
		return err
	}
	var first, last, count uint64
	walk := l.db.NewIterator(util.BytesPrefix([]byte(seqPrefix)), nil)
	defer walk.Release()
	for walk.Next() {
		n := binary.BigEndian.Uint64(walk.Key()[len(seqPrefix):])
		if count == 0 {
			first = n
		}
		last = n
		count++
	}
	if err := walk.Error(); err != nil {
		return err
	}
	if count > 0 && last-first+1 != count {
		return errcode.New(errcode.StorageBroken, "batches are missing between %d and %d", first, last)
	}
	l.seq = last
	return nil
}

// IsAfterDamage tells whether this store took the place of a damaged one. Such
// a node may join a fleet, but must not found one: its fleet exists, even if
// all its members should be damaged at once.
func (l *Store) IsAfterDamage() bool {
	value, _ := l.Get(afterDamage)
	return value != nil
}

// Begin starts a batch.
func (l *Store) Begin() *Batch { return &Batch{done: make(chan struct{}), over: l.r.Done()} }

// Hand puts a batch into the queue; the order of handing is the order on disk.
func (l *Store) Hand(w *Batch) {
	l.mu.Lock()
	l.queue = append(l.queue, w)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// write is the one task that writes: what waits goes to the disk as one batch.
func (l *Store) write() {
	defer l.close()
	for {
		select {
		case <-l.r.Done():
			l.drain(errcode.New(errcode.StorageBroken, "stopping"))
			return
		case <-l.wake:
		}
		l.mu.Lock()
		queue := l.queue
		l.queue = nil
		l.mu.Unlock()
		if len(queue) == 0 {
			continue
		}
		began := time.Now()
		l.since.Store(int64(began.Sub(l.start)) + 1)
		err := l.persist(l.gather(queue))
		l.since.Store(0)
		l.r.Times.Sync.Take(time.Since(began))
		l.syncs.Add(1)
		for _, w := range queue {
			w.err = err
			close(w.done)
		}
		if err != nil {
			l.drain(err)
			return
		}
	}
}

// gather joins batches into one, under the next number.
func (l *Store) gather(queue []*Batch) *leveldb.Batch {
	whole := &leveldb.Batch{}
	for _, w := range queue {
		w.batch.Replay(whole)
	}
	l.seq++
	whole.Put(seqKey(l.seq), nil)
	if l.seq > seqKept {
		whole.Delete(seqKey(l.seq - seqKept))
	}
	return whole
}

// persist writes a batch and syncs it. A disk that takes nothing is tried again until
// it does: whoever waits for the batch goes on waiting, as with a stall, and nothing
// that comes after it overtakes it. Only damage ends the writing.
func (l *Store) persist(whole *leveldb.Batch) error {
	err := l.db.Write(whole, &opt.WriteOptions{Sync: true})
	if err == nil {
		return nil
	}
	l.r.Sign.Say(eventlog.StoreFailed, "cause", err.Error())
	l.isFailing.Store(true)
	began := time.Now()
	for l.r.Pause(retryPause) {
		// The journal takes nothing after a failed write; the folder is opened anew.
		if err = l.reopen(); err == nil {
			err = l.db.Write(whole, &opt.WriteOptions{Sync: true})
		}
		if err == nil {
			l.isFailing.Store(false)
			l.r.Sign.Say(eventlog.StoreBack, "after", time.Since(began).String())
			return nil
		}
		if isDamage(err) {
			l.r.Sign.Say(eventlog.StoreFailed, "cause", err.Error())
			close(l.Failed)
			<-l.r.Done()
			return errcode.New(errcode.StorageBroken, "%v", err)
		}
	}
	return errcode.New(errcode.StorageBroken, "stopping")
}

// reopen closes the folder and opens it again, to the same state.
func (l *Store) reopen() error {
	l.access.Lock()
	defer l.access.Unlock()
	l.close()
	seq := l.seq
	err := l.load()
	l.seq = seq
	return err
}

func (l *Store) drain(err error) {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, w := range queue {
		w.err = err
		close(w.done)
	}
}

func seqKey(n uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(seqPrefix), n)
}

// Stalled is for how long the write under way has been waiting on the disk.
func (l *Store) Stalled() time.Duration {
	since := l.since.Load()
	if since == 0 {
		return 0
	}
	return time.Since(l.start) - time.Duration(since)
}

// IsFailing tells whether the disk takes nothing just now.
func (l *Store) IsFailing() bool { return l.isFailing.Load() }

// Syncs is how many batches were synced.
func (l *Store) Syncs() int64 { return l.syncs.Load() }

// Get reads one value; none is nil.
func (l *Store) Get(key string) ([]byte, error) {
	l.access.RLock()
	defer l.access.RUnlock()
	if l.db == nil {
		return nil, errcode.New(errcode.StorageBroken, "the folder is not open")
	}
	value, err := l.db.Get([]byte(key), nil)
	if err == leveldb.ErrNotFound {
		return nil, nil
	}
	return value, err
}

// Walk visits all keys under a prefix in order.
func (l *Store) Walk(prefix string, visit func(key string, value []byte) error) error {
	l.access.RLock()
	defer l.access.RUnlock()
	if l.db == nil {
		return errcode.New(errcode.StorageBroken, "the folder is not open")
	}
	walk := l.db.NewIterator(util.BytesPrefix([]byte(prefix)), nil)
	defer walk.Release()
	for walk.Next() {
		if err := visit(string(walk.Key()), append([]byte(nil), walk.Value()...)); err != nil {
			return err
		}
	}
	return walk.Error()
}
