package rate

import "iter"

// queueShrink is the number of taken entries from which the memory is reused.
const queueShrink = 64

// queue is a first-in, first-out queue.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) push(v T) { q.items = append(q.items, v) }

func (q *queue[T]) len() int { return len(q.items) - q.head }

// until takes entries from the front as long as the condition holds.
func (q *queue[T]) until(ok func(T) bool) iter.Seq[T] {
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
	if q.head >= queueShrink && q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return v
}
