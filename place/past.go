package place

// pastOrders is the number of orders that are remembered. One that arrives again
// later is decided anew, which never overcommits: it only costs a move.
const pastOrders = 1024

// results remembers which orders were carried out, so that a repeated one has no
// effect.
type results struct {
	done map[string]struct{}
	ring []string
	next int
}

func newResults() results {
	return results{done: map[string]struct{}{}, ring: make([]string, pastOrders)}
}

func (r *results) has(id string) bool {
	_, ok := r.done[id]
	return ok
}

func (r *results) add(id string) {
	if r.has(id) {
		return
	}
	delete(r.done, r.ring[r.next])
	r.ring[r.next] = id
	r.done[id] = struct{}{}
	r.next = (r.next + 1) % len(r.ring)
}
