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

var errGone = errors.New("the disk no longer obeys this process")

type file struct {
	data   []byte
	synced int
}

// Disk is one machine's.
type Disk struct {
	mu      sync.Mutex
	rand    *rand.Rand
	files   map[storage.FileDesc]*file
	meta    storage.FileDesc
	hasMeta bool
	life    int
	stalled chan struct{}
	each    time.Duration
	isFull  bool
	hurts   int
	Syncs   int
}

func newDisk(r *rand.Rand) *Disk {
	return &Disk{rand: r, files: map[storage.FileDesc]*file{}}
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	d.files, d.hasMeta = map[storage.FileDesc]*file{}, false
	d.life++
	d.mu.Unlock()
}

// Stall makes every sync wait until Resume.
func (d *Disk) Stall() {
	d.mu.Lock()
	if d.stalled == nil {
		d.stalled = make(chan struct{})
		d.hurts++
	}
	d.mu.Unlock()
}

// Fill has the disk take no more bytes; it keeps what it has, and the beginning of the
// write that found it full.
func (d *Disk) Fill() {
	d.mu.Lock()
	d.isFull = true
	d.hurts++
	d.mu.Unlock()
}

// Resume ends a stall, and makes room.
func (d *Disk) Resume() {
	d.mu.Lock()
	d.isFull = false
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
	d.mu.Unlock()
}

// Slow makes every sync take so long; zero makes it quick again.
func (d *Disk) Slow(each time.Duration) {
	d.mu.Lock()
	d.each = each
	d.hurts++
	d.mu.Unlock()
}

func (d *Disk) state() (isWell bool, hurts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stalled == nil && d.each == 0 && !d.isFull, d.hurts
}

// SpoilAll cuts the index of the store short, so that it can't be read.
func (d *Disk) SpoilAll() {
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
	d.life++
	if isPowerLost {
		for _, f := range d.files {
			if rest := len(f.data) - f.synced; rest > 0 {
				f.data = f.data[:f.synced+d.rand.IntN(rest+1)]
			}
		}
	}
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
	d.mu.Unlock()
}

func (d *Disk) attach() (storage.Storage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	return &disk{Disk: d, life: d.life}, nil
}

// disk is a Disk as one life of a process has it.
type disk struct {
	*Disk
	life int
}

func (d *disk) do(verb func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.life != d.Disk.life {
		return errGone
	}
	return verb()
}

type locked struct{}

func (locked) Unlock() {}

func (d *disk) Lock() (storage.Locker, error) { return locked{}, nil }
func (d *disk) Log(string)                    {}
func (d *disk) Close() error                  { return nil }

func (d *disk) SetMeta(fd storage.FileDesc) error {
	return d.do(func() error { d.meta, d.hasMeta = fd, true; return nil })
}

func (d *disk) GetMeta() (fd storage.FileDesc, err error) {
	err = d.do(func() error {
		if !d.hasMeta {
			return os.ErrNotExist
		}
		fd = d.meta
		return nil
	})
	return fd, err
}

func (d *disk) List(ft storage.FileType) (list []storage.FileDesc, err error) {
	err = d.do(func() error {
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

func (d *disk) Open(fd storage.FileDesc) (r storage.Reader, err error) {
	err = d.do(func() error {
		f, ok := d.files[fd]
		if !ok {
			return os.ErrNotExist
		}
		r = reader{bytes.NewReader(append([]byte(nil), f.data...))}
		return nil
	})
	return r, err
}

func (d *disk) Create(fd storage.FileDesc) (w storage.Writer, err error) {
	err = d.do(func() error {
		f := &file{}
		d.files[fd] = f
		w = &writer{d: d, f: f}
		return nil
	})
	return w, err
}

func (d *disk) Remove(fd storage.FileDesc) error {
	return d.do(func() error {
		if _, ok := d.files[fd]; !ok {
			return os.ErrNotExist
		}
		delete(d.files, fd)
		return nil
	})
}

func (d *disk) Rename(from, to storage.FileDesc) error {
	return d.do(func() error {
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
	d *disk
	f *file
}

func (w *writer) Write(p []byte) (n int, err error) {
	err = w.d.do(func() error {
		n = len(p)
		if w.d.isFull {
			n = w.d.rand.IntN(n + 1)
		}
		w.f.data = append(w.f.data, p[:n]...)
		if w.d.isFull {
			return syscall.ENOSPC
		}
		return nil
	})
	return n, err
}

func (w *writer) Sync() error {
	for {
		w.d.mu.Lock()
		stalled, each := w.d.stalled, w.d.each
		w.d.mu.Unlock()
		time.Sleep(each)
		if stalled == nil {
			break
		}
		<-stalled
	}
	return w.d.do(func() error { w.f.synced = len(w.f.data); w.d.Syncs++; return nil })
}

func (w *writer) Close() error { return nil }

var _ io.Writer = (*writer)(nil)
