// Package pq implements an indexed priority queue: a binary heap whose items can be
// changed and removed by key in logarithmic time.
package pq

import "container/heap"

// Queue holds values of type V under unique keys, ordered by a priority of type P.
type Queue[K comparable, P any, V any] struct {
	h indexedHeap[K, P, V]
}

type item[K comparable, P any, V any] struct {
	key      K
	priority P
	value    V
}

type indexedHeap[K comparable, P any, V any] struct {
	items []item[K, P, V]
	index map[K]int
	less  func(a, b P) bool
}

// New returns an empty queue. less must be a strict total order for the order
// of equal priorities to be deterministic.
func New[K comparable, P any, V any](less func(a, b P) bool) *Queue[K, P, V] {
	return &Queue[K, P, V]{indexedHeap[K, P, V]{index: make(map[K]int), less: less}}
}

// Len returns the number of items.
func (q *Queue[K, P, V]) Len() int { return len(q.h.items) }

// Set adds an item, or changes the priority and value of an item in the queue.
func (q *Queue[K, P, V]) Set(key K, priority P, value V) {
	if i, ok := q.h.index[key]; ok {
		q.h.items[i].priority = priority
		q.h.items[i].value = value
		heap.Fix(&q.h, i)
		return
	}
	heap.Push(&q.h, item[K, P, V]{key, priority, value})
}

// Remove removes an item and reports whether it was in the queue.
func (q *Queue[K, P, V]) Remove(key K) bool {
	i, ok := q.h.index[key]
	if ok {
		heap.Remove(&q.h, i)
	}
	return ok
}

// Has reports whether the key is in the queue.
func (q *Queue[K, P, V]) Has(key K) bool {
	_, ok := q.h.index[key]
	return ok
}

// Peek returns the first item; ok is false if the queue is empty.
func (q *Queue[K, P, V]) Peek() (key K, priority P, value V, ok bool) {
	if len(q.h.items) == 0 {
		return key, priority, value, false
	}
	first := q.h.items[0]
	return first.key, first.priority, first.value, true
}

// Pop removes and returns the first item; ok is false if the queue is empty.
func (q *Queue[K, P, V]) Pop() (key K, priority P, value V, ok bool) {
	key, priority, value, ok = q.Peek()
	if ok {
		heap.Pop(&q.h)
	}
	return key, priority, value, ok
}

func (h *indexedHeap[K, P, V]) Len() int { return len(h.items) }

func (h *indexedHeap[K, P, V]) Less(i, j int) bool {
	return h.less(h.items[i].priority, h.items[j].priority)
}

func (h *indexedHeap[K, P, V]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.index[h.items[i].key] = i
	h.index[h.items[j].key] = j
}

func (h *indexedHeap[K, P, V]) Push(x any) {
	it := x.(item[K, P, V])
	h.index[it.key] = len(h.items)
	h.items = append(h.items, it)
}

func (h *indexedHeap[K, P, V]) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = item[K, P, V]{}
	h.items = h.items[:last]
	delete(h.index, it.key)
	return it
}
