package storage

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"syscall"
)

// memFolder is a folder in memory that records what a crash may lose. From the
// change with number failAtChange on, counted from 1, every change fails.
type memFolder struct {
	files        map[string]*memFile // as the running process sees them
	durableFiles map[string]*memFile // as of the last SyncDir
	changes      int                 // number of changes so far
	failAtChange int                 // 0 if no change fails
	fault        error
	partial      int // number of bytes that a failing write still writes
}

var errDisk = errors.New("injected disk fault")

func newMemFolder() *memFolder {
	return &memFolder{files: map[string]*memFile{}, durableFiles: map[string]*memFile{}, fault: errDisk}
}

// memFile is a file with its content and the part of it that is on disk. As in the
// kernel, a failed sync marks pages as clean that are not on disk.
type memFile struct {
	folder *memFolder
	data   []byte
	dirty  []bool // whether the next sync writes the byte of data
	synced []byte
}

// change counts a change and returns the fault if it fails.
func (m *memFolder) change() error {
	m.changes++
	if m.failAtChange > 0 && m.changes >= m.failAtChange {
		return m.fault
	}
	return nil
}

func (m *memFolder) Create(name string) (file, error) {
	if err := m.change(); err != nil {
		return nil, err
	}
	f := &memFile{folder: m}
	m.files[name] = f
	return f, nil
}

func (m *memFolder) Open(name string) (file, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (m *memFolder) ReadFile(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFolder) List() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

func (m *memFolder) Rename(from, to string) error {
	if err := m.change(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFolder) Remove(name string) error {
	if err := m.change(); err != nil {
		return err
	}
	if m.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	return nil
}

func (m *memFolder) SyncDir() error {
	if err := m.change(); err != nil {
		return err
	}
	m.durableFiles = maps.Clone(m.files)
	return nil
}

func (f *memFile) WriteAt(data []byte, offset int64) (int, error) {
	err := f.folder.change()
	if err != nil {
		data = data[:min(f.folder.partial, len(data))]
	}
	f.write(data, offset)
	return len(data), err
}

func (f *memFile) write(data []byte, offset int64) {
	end := int(offset) + len(data)
	if end > len(f.data) {
		f.dirty = append(f.dirty, make([]bool, end-len(f.data))...)
		f.data = append(f.data, make([]byte, end-len(f.data))...)
	}
	copy(f.data[offset:], data)
	for i := range data {
		f.dirty[int(offset)+i] = true
	}
}

func (f *memFile) Truncate(size int64) error {
	if err := f.folder.change(); err != nil {
		return err
	}
	f.data = f.data[:size:size]
	f.dirty = f.dirty[:size:size]
	return nil
}

func (f *memFile) Sync() error {
	err := f.folder.change()
	if err == nil {
		onDisk := make([]byte, len(f.data))
		copy(onDisk, f.synced)
		for i, dirty := range f.dirty {
			if dirty {
				onDisk[i] = f.data[i]
			}
		}
		f.synced = onDisk
	}
	clear(f.dirty)
	return err
}

func (f *memFile) Close() error { return nil }

// sector is the unit in which a torn write reaches the disk, in bytes. It is smaller
// than on real disks, so that small batches are torn as well.
const sector = 64

// crash returns the folder as it may be after a crash of the machine. pick(n)
// returns a number below n. It determines whether the unsynced directory changes,
// and which size and which of the unsynced sectors of each file, have reached the
// disk.
func (m *memFolder) crash(pick func(n int) int) *memFolder {
	names := m.durableFiles
	if pick(2) == 1 {
		names = m.files
	}
	out := newMemFolder()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		data := names[name].torn(pick)
		f := &memFile{folder: out, data: data, dirty: make([]bool, len(data)), synced: slices.Clone(data)}
		out.files[name] = f
		out.durableFiles[name] = f
	}
	return out
}

// restart returns the folder as it is after a crash of the process only: what is not
// synced is still readable, but a later crash of the machine may lose it.
func (m *memFolder) restart() *memFolder {
	out := newMemFolder()
	copies := map[*memFile]*memFile{}
	copyNames := func(names map[string]*memFile) map[string]*memFile {
		result := map[string]*memFile{}
		for name, f := range names {
			if copies[f] == nil {
				copies[f] = &memFile{out, slices.Clone(f.data), slices.Clone(f.dirty), slices.Clone(f.synced)}
			}
			result[name] = copies[f]
		}
		return result
	}
	out.files, out.durableFiles = copyNames(m.files), copyNames(m.durableFiles)
	return out
}

func (f *memFile) torn(pick func(n int) int) []byte {
	if slices.Equal(f.data, f.synced) {
		return slices.Clone(f.data)
	}
	low, high := min(len(f.data), len(f.synced)), max(len(f.data), len(f.synced))
	out := make([]byte, low+pick(high-low+1))
	copy(out, f.synced)
	for start := 0; start < len(out); start += sector {
		if pick(2) == 1 && start < len(f.data) {
			copy(out[start:min(start+sector, len(out))], f.data[start:])
		}
	}
	return out
}

// setDiskFull makes every change from now on fail as on a full disk. A failing write
// still writes up to partial bytes.
func (m *memFolder) setDiskFull(partial int) {
	m.failAtChange, m.fault, m.partial = m.changes+1, syscall.ENOSPC, partial
}
