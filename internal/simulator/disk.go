// Disks of the simulated machines, as goleveldb storage. After a process is killed, all data it
// wrote remains. After a power loss, the synced data and a random prefix of the unsynced data
// remain. A disk can stall, be slow, be full, and be wiped.

package simulator

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

var errDetached = errors.New("disk detached: the process was killed, or the disk was wiped or opened again")

type file struct {
	data        []byte
	syncedBytes int // length of the prefix of data that survives a power loss
}

// Disk is the disk of one machine. It outlives the machine's processes.
type Disk struct {
	mu         sync.Mutex
	rand       *rand.Rand
	files      map[storage.FileDesc]*file
	meta       storage.FileDesc
	hasMeta    bool
	generation int           // incremented by every attach, detach and wipe
	stall      chan struct{} // closed when the stall ends; nil if there is none
	syncDelay  time.Duration
	full       bool
	faultCount int
	Syncs      int // number of completed syncs
}

func newDisk(r *rand.Rand) *Disk {
	return &Disk{rand: r, files: map[storage.FileDesc]*file{}}
}

// Wipe deletes all files and detaches the running process.
func (d *Disk) Wipe() {
	d.mu.Lock()
	d.files, d.hasMeta = map[storage.FileDesc]*file{}, false
	d.generation++
	d.mu.Unlock()
}

// Stall makes every sync wait until Resume.
func (d *Disk) Stall() {
	d.mu.Lock()
	if d.stall == nil {
		d.stall = make(chan struct{})
		d.faultCount++
	}
	d.mu.Unlock()
}

// Fill makes the disk full. Its data remains. Each write stores a random prefix of its data and
// fails with ENOSPC, until Resume.
func (d *Disk) Fill() {
	d.mu.Lock()
	d.full = true
	d.faultCount++
	d.mu.Unlock()
}

// Resume ends the effects of Stall and Fill.
func (d *Disk) Resume() {
	d.mu.Lock()
	d.full = false
	if d.stall != nil {
		close(d.stall)
		d.stall = nil
	}
	d.mu.Unlock()
}

// Slow delays every sync; zero removes the delay.
func (d *Disk) Slow(delay time.Duration) {
	d.mu.Lock()
	d.syncDelay = delay
	d.faultCount++
	d.mu.Unlock()
}

// status reports whether the disk is free of stalls, delays and lack of space, and how many
// faults were injected so far.
func (d *Disk) status() (isIntact bool, faults int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stall == nil && d.syncDelay == 0 && !d.full, d.faultCount
}

// CorruptManifest truncates the store's manifest to half its length, so that it cannot be read.
func (d *Disk) CorruptManifest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for fd, f := range d.files {
		if fd.Type == storage.TypeManifest {
			f.data = append([]byte(nil), f.data[:len(f.data)/2]...)
		}
	}
}

// detach makes all further operations of the attached process fail. After a power loss, only a
// random prefix of each file's unsynced data remains.
func (d *Disk) detach(isPowerLost bool) {
	d.mu.Lock()
	d.generation++
	if isPowerLost {
		for _, f := range d.files {
			if unsynced := len(f.data) - f.syncedBytes; unsynced > 0 {
				f.data = f.data[:f.syncedBytes+d.rand.IntN(unsynced+1)]
			}
		}
	}
	if d.stall != nil {
		close(d.stall)
		d.stall = nil
	}
	d.mu.Unlock()
}

// attach returns the disk for use by one process, and detaches the previous one.
func (d *Disk) attach() (storage.Storage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	return &attachedDisk{Disk: d, attachedGeneration: d.generation}, nil
}

// attachedDisk is a Disk as used by one process. Its operations fail with errDetached after the
// disk was attached again, detached or wiped.
type attachedDisk struct {
	*Disk
	attachedGeneration int
}

// withLock runs an operation under the disk's lock if the disk is still attached.
func (d *attachedDisk) withLock(operation func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attachedGeneration != d.Disk.generation {
		return errDetached
	}
	return operation()
}

type unlocker struct{}

func (unlocker) Unlock() {}

func (d *attachedDisk) Lock() (storage.Locker, error) { return unlocker{}, nil }
func (d *attachedDisk) Log(string)                    {}
func (d *attachedDisk) Close() error                  { return nil }

func (d *attachedDisk) SetMeta(fd storage.FileDesc) error {
	return d.withLock(func() error { d.meta, d.hasMeta = fd, true; return nil })
}

func (d *attachedDisk) GetMeta() (fd storage.FileDesc, err error) {
	err = d.withLock(func() error {
		if !d.hasMeta {
			return os.ErrNotExist
		}
		fd = d.meta
		return nil
	})
	return fd, err
}

func (d *attachedDisk) List(ft storage.FileType) (list []storage.FileDesc, err error) {
	err = d.withLock(func() error {
		for fd := range d.files {
			if fd.Type&ft != 0 {
				list = append(list, fd)
			}
		}
		return nil
	})
	return list, err
}

type reader struct{ *bytes.Reader }

func (reader) Close() error { return nil }

func (d *attachedDisk) Open(fd storage.FileDesc) (r storage.Reader, err error) {
	err = d.withLock(func() error {
		f, ok := d.files[fd]
		if !ok {
			return os.ErrNotExist
		}
		r = reader{bytes.NewReader(append([]byte(nil), f.data...))}
		return nil
	})
	return r, err
}

func (d *attachedDisk) Create(fd storage.FileDesc) (w storage.Writer, err error) {
	err = d.withLock(func() error {
		f := &file{}
		d.files[fd] = f
		w = &writer{disk: d, file: f}
		return nil
	})
	return w, err
}

func (d *attachedDisk) Remove(fd storage.FileDesc) error {
	return d.withLock(func() error {
		if _, ok := d.files[fd]; !ok {
			return os.ErrNotExist
		}
		delete(d.files, fd)
		return nil
	})
}

func (d *attachedDisk) Rename(from, to storage.FileDesc) error {
	return d.withLock(func() error {
		f, ok := d.files[from]
		if !ok {
			return os.ErrNotExist
		}
		delete(d.files, from)
		d.files[to] = f
		return nil
	})
}

type writer struct {
	disk *attachedDisk
	file *file
}

func (w *writer) Write(p []byte) (n int, err error) {
	err = w.disk.withLock(func() error {
		n = len(p)
		if w.disk.full {
			n = w.disk.rand.IntN(n + 1)
		}
		w.file.data = append(w.file.data, p[:n]...)
		if w.disk.full {
			return syscall.ENOSPC
		}
		return nil
	})
	return n, err
}

func (w *writer) Sync() error {
	for {
		w.disk.mu.Lock()
		stall, delay := w.disk.stall, w.disk.syncDelay
		w.disk.mu.Unlock()
		time.Sleep(delay)
		if stall == nil {
			break
		}
		<-stall
	}
	return w.disk.withLock(func() error { w.file.syncedBytes = len(w.file.data); w.disk.Syncs++; return nil })
}

func (w *writer) Close() error { return nil }

var _ io.Writer = (*writer)(nil)
