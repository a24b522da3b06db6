package codec

import (
	"reflect"
	"slices"
	"sync"
	"sync/atomic"

	"primrosedale.example/primrosedale/core/fleet"
)

// Limits of an entryCache.
const (
	cachedEntries       = 1024
	maxCachedEntryBytes = 4 << 10 // larger entries are not cached
)

// entryCache caches the packed form of the latest log entries. Each entry has the slot of
// its index modulo cachedEntries.
type entryCache [cachedEntries]atomic.Pointer[packedEntry]

// packedEntry is the packed form of one entry, which the first goroutine that needs it
// computes. Entries are immutable, so the address of the command distinguishes entries
// with the same index and term.
type packedEntry struct {
	index, term uint64
	command     *fleet.Command
	once        sync.Once
	data        []byte
	err         error
}

func (p *packedEntry) matches(e *Entry) bool {
	return p != nil && p.index == e.Index && p.term == e.Term && p.command == e.Command
}

// lookup returns the cached element for e. If the slot has none or that of another entry,
// it stores and returns a new element whose data is not set yet.
func (c *entryCache) lookup(e *Entry) *packedEntry {
	slot := &c[e.Index%cachedEntries]
	for {
		current := slot.Load()
		if current.matches(e) {
			return current
		}
		added := &packedEntry{index: e.Index, term: e.Term, command: e.Command}
		if slot.CompareAndSwap(current, added) {
			return added
		}
	}
}

func (c *entryCache) remove(p *packedEntry) { c[p.index%cachedEntries].CompareAndSwap(p, nil) }

// cachePackedEntries changes the layout of entries to use the writer's cache, so that each
// entry is packed once for all followers.
func cachePackedEntries(l *layout) {
	write := l.write
	l.write = func(w *writer, v reflect.Value) {
		if w.err != nil {
			return // an earlier error; do not cache it for this entry
		}
		e := v.Addr().Interface().(*Entry)
		if w.cache == nil || e.Command == nil {
			write(w, v)
			return
		}
		p, packedNow := w.cache.lookup(e), false
		p.once.Do(func() {
			packedNow = true
			start := len(w.data)
			write(w, v)
			if w.err != nil || len(w.data)-start > maxCachedEntryBytes {
				w.cache.remove(p)
			}
			p.data, p.err = slices.Clone(w.data[start:]), w.err
		})
		if !packedNow {
			w.data = append(w.data, p.data...)
		}
		if p.err != nil {
			w.err = p.err
		}
	}
}
