package rate

// peaksMax bounds the memory of a bucket. With more entries than that, two that
// differ least are merged, which can only lower a refund.
const peaksMax = 32

// peak is the fill of a bucket just before the drop with the given mark.
type peak struct {
	mark StartSeq
	fill milli
}

// peaks is a queue of maxima: marks rise and fills fall strictly. The highest
// fill since a mark is that of the first entry after it.
type peaks struct {
	queue []peak
}

func (p *peaks) push(m StartSeq, fill milli) {
	n := len(p.queue)
	for n > 0 && p.queue[n-1].fill <= fill {
		n--
	}
	p.queue = append(p.queue[:n], peak{mark: m, fill: fill})
	if len(p.queue) > peaksMax {
		p.merge()
	}
}

// since returns the index of the first entry after the mark.
func (p *peaks) since(m StartSeq) int {
	for i := range p.queue {
		if p.queue[i].mark > m {
			return i
		}
	}
	return len(p.queue)
}

// highest returns the highest fill after the mark, at least the current one.
func (p *peaks) highest(m StartSeq, current milli) milli {
	i := p.since(m)
	if i == len(p.queue) {
		return current
	}
	return max(current, p.queue[i].fill)
}

// raise records that the bucket would have been fuller by n since the mark. Without
// it, two refunds could both count the same free room below the burst.
func (p *peaks) raise(m StartSeq, n milli) {
	first := p.since(m)
	if first == len(p.queue) {
		return
	}
	for i := first; i < len(p.queue); i++ {
		p.queue[i].fill += n
	}
	keep := first
	for keep > 0 && p.queue[keep-1].fill <= p.queue[first].fill {
		keep--
	}
	p.queue = append(p.queue[:keep], p.queue[first:]...)
}

// merge replaces the two neighbours that differ least by one with the higher
// fill and the later mark.
func (p *peaks) merge() {
	best := 0
	for i := 1; i+1 < len(p.queue); i++ {
		if p.queue[i].fill-p.queue[i+1].fill < p.queue[best].fill-p.queue[best+1].fill {
			best = i
		}
	}
	p.queue[best+1].fill = p.queue[best].fill
	p.queue = append(p.queue[:best], p.queue[best+1:]...)
}
