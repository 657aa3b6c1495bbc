package route

// maxPrefixes bounds the memory of the hints for one upstream.
const maxPrefixes = 4096

// prefixes remembers which prompt prefixes were sent to an upstream. It is a hint:
// the engine may have evicted them. The oldest entries are dropped first.
type prefixes struct {
	known map[uint64]bool
	order []uint64
	next  int
}

func newPrefixes() *prefixes { return &prefixes{known: map[uint64]bool{}} }

func (p *prefixes) add(prefix []uint64) {
	for _, h := range prefix {
		if p.known[h] {
			continue
		}
		p.known[h] = true
		if len(p.order) < maxPrefixes {
			p.order = append(p.order, h)
			continue
		}
		delete(p.known, p.order[p.next])
		p.order[p.next] = h
		p.next = (p.next + 1) % maxPrefixes
	}
}

// match returns the number of leading blocks that are expected in the cache.
func (p *prefixes) match(prefix []uint64) int {
	for i, h := range prefix {
		if !p.known[h] {
			return i
		}
	}
	return len(prefix)
}

// correct forgets the blocks after the first n, which the engine did not have.
func (p *prefixes) correct(prefix []uint64, n int) {
	for i, h := range prefix {
		if i >= n {
			delete(p.known, h)
		}
	}
}
