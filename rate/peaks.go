package rate

// maxPeaks bounds the memory of a bucket. When there are more entries, the two neighbors with
// the smallest difference are merged, which can only lower a refund.
const maxPeaks = 32

// peak is the fill of a bucket just before the start with number seq.
type peak struct {
	seq  StartSeq
	fill milliTokens
}

// peaks is a monotonic queue of maxima: seq rises and fill falls strictly. The highest fill
// since a start is that of the first entry after it.
type peaks struct {
	entries []peak
}

// push records the fill before the start m and removes entries that it supersedes.
func (p *peaks) push(m StartSeq, fill milliTokens) {
	n := len(p.entries)
	for n > 0 && p.entries[n-1].fill <= fill {
		n--
	}
	p.entries = append(p.entries[:n], peak{seq: m, fill: fill})
	if len(p.entries) > maxPeaks {
		p.merge()
	}
}

// firstAfter returns the index of the first entry after the start m.
func (p *peaks) firstAfter(m StartSeq) int {
	for i := range p.entries {
		if p.entries[i].seq > m {
			return i
		}
	}
	return len(p.entries)
}

// highest returns the highest fill since the start m, at least the current one.
func (p *peaks) highest(m StartSeq, current milliTokens) milliTokens {
	i := p.firstAfter(m)
	if i == len(p.entries) {
		return current
	}
	return max(current, p.entries[i].fill)
}

// raise adds n, a refund for the start m, to the fills recorded since. Otherwise two refunds
// could both use the same room below the burst.
func (p *peaks) raise(m StartSeq, n milliTokens) {
	first := p.firstAfter(m)
	if first == len(p.entries) {
		return
	}
	for i := first; i < len(p.entries); i++ {
		p.entries[i].fill += n
	}
	keep := first
	for keep > 0 && p.entries[keep-1].fill <= p.entries[first].fill {
		keep--
	}
	p.entries = append(p.entries[:keep], p.entries[first:]...)
}

// merge replaces the two neighbors with the smallest difference by one entry with the higher
// fill and the later number.
func (p *peaks) merge() {
	best := 0
	for i := 1; i+1 < len(p.entries); i++ {
		if p.entries[i].fill-p.entries[i+1].fill < p.entries[best].fill-p.entries[best+1].fill {
			best = i
		}
	}
	p.entries[best+1].fill = p.entries[best].fill
	p.entries = append(p.entries[:best], p.entries[best+1:]...)
}
