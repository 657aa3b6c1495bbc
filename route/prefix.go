package route

// maxPrefixHashes bounds the block hashes kept for one upstream.
const maxPrefixHashes = 4096

// prefixHints holds the hashes of the prompt blocks that were sent to an upstream and are
// therefore probably in its prefix cache; the engine may have evicted them. At
// maxPrefixHashes, a new hash replaces the oldest.
type prefixHints struct {
	known  map[uint64]bool
	ring   []uint64
	oldest int
}

func newPrefixHints() *prefixHints { return &prefixHints{known: map[uint64]bool{}} }

func (p *prefixHints) add(hashes []uint64) {
	for _, h := range hashes {
		if p.known[h] {
			continue
		}
		p.known[h] = true
		if len(p.ring) < maxPrefixHashes {
			p.ring = append(p.ring, h)
			continue
		}
		delete(p.known, p.ring[p.oldest])
		p.ring[p.oldest] = h
		p.oldest = (p.oldest + 1) % maxPrefixHashes
	}
}

// match returns the number of leading blocks that are probably in the prefix cache.
func (p *prefixHints) match(hashes []uint64) int {
	for i, h := range hashes {
		if !p.known[h] {
			return i
		}
	}
	return len(hashes)
}

// removeAfter drops the blocks after the first n, which were not in the prefix cache.
func (p *prefixHints) removeAfter(hashes []uint64, n int) {
	for i, h := range hashes {
		if i >= n {
			delete(p.known, h)
		}
	}
}
