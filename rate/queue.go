package rate

import "iter"

// queueCompactAt is the number of removed entries from which the slice may be compacted.
const queueCompactAt = 64

// queue is a FIFO queue.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) push(v T) { q.items = append(q.items, v) }

func (q *queue[T]) len() int { return len(q.items) - q.head }

// popWhile removes and yields entries from the front as long as ok holds for them.
func (q *queue[T]) popWhile(ok func(T) bool) iter.Seq[T] {
	return func(yield func(T) bool) {
		for q.len() > 0 && ok(q.items[q.head]) {
			if !yield(q.pop()) {
				return
			}
		}
	}
}

func (q *queue[T]) pop() T {
	var zero T
	v := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head >= queueCompactAt && q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return v
}
