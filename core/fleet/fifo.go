package fleet

// fifo is a first-in, first-out queue. push and pop take amortised constant time.
type fifo[T any] struct {
	items []T
	head  int // index of the oldest item; earlier ones have been removed
}

func (q *fifo[T]) len() int { return len(q.items) - q.head }

func (q *fifo[T]) push(item T) { q.items = append(q.items, item) }

// front returns the oldest item, and false if the queue is empty.
func (q *fifo[T]) front() (T, bool) {
	if q.len() == 0 {
		var none T
		return none, false
	}
	return q.items[q.head], true
}

// pop removes the oldest item of a queue that is not empty.
func (q *fifo[T]) pop() {
	var none T
	q.items[q.head] = none
	q.head++
	// At least half of the slice is unused. Moving the rest takes at most as many
	// steps as items were removed since the last move.
	if 2*q.head >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
}

// pending returns the items, oldest first. The caller must not change them.
func (q *fifo[T]) pending() []T { return q.items[q.head:] }
