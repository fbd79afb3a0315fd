// Disks of the simulated machines, as goleveldb storage. A killed process
// leaves all it wrote; lost power leaves what was synced and a torn beginning
// of the rest. A disk can stall, and it can be wiped.

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

var errDetached = errors.New("the disk no longer obeys this process")

type file struct {
	data        []byte
	syncedBytes int
}

// Disk is one machine's.
type Disk struct {
	mu         sync.Mutex
	rand       *rand.Rand
	files      map[storage.FileDesc]*file
	meta       storage.FileDesc
	hasMeta    bool
	generation int
	stall      chan struct{}
	syncDelay  time.Duration
	full       bool
	faultCount int
	Syncs      int
}

func newDisk(r *rand.Rand) *Disk {
	return &Disk{rand: r, files: map[storage.FileDesc]*file{}}
}

// Wipe empties the disk.
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

// Fill has the disk take no more bytes; it keeps what it has, and the beginning of the
// write that found it full.
func (d *Disk) Fill() {
	d.mu.Lock()
	d.full = true
	d.faultCount++
	d.mu.Unlock()
}

// Resume ends a stall, and makes room.
func (d *Disk) Resume() {
	d.mu.Lock()
	d.full = false
	if d.stall != nil {
		close(d.stall)
		d.stall = nil
	}
	d.mu.Unlock()
}

// Slow makes every sync take so long; zero makes it quick again.
func (d *Disk) Slow(delay time.Duration) {
	d.mu.Lock()
	d.syncDelay = delay
	d.faultCount++
	d.mu.Unlock()
}

func (d *Disk) status() (isIntact bool, faults int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stall == nil && d.syncDelay == 0 && !d.full, d.faultCount
}

// CorruptManifest cuts the index of the store short, so that it can't be read.
func (d *Disk) CorruptManifest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for fd, f := range d.files {
		if fd.Type == storage.TypeManifest {
			f.data = append([]byte(nil), f.data[:len(f.data)/2]...)
		}
	}
}

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

func (d *Disk) attach() (storage.Storage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	return &attachedDisk{Disk: d, attachedGeneration: d.generation}, nil
}

// attachedDisk is a Disk as one life of a process has it.
type attachedDisk struct {
	*Disk
	attachedGeneration int
}

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
