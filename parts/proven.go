package parts

import "github.com/magnolialever/magnolialever/clock"

// maxProven bounds one generation of proven parts.
const maxProven = 16_384

// provenSet holds when an answer to a prompt with a part began last. It has two generations: when one is
// full, the older one is dropped, so that parts in use stay and memory is bounded under any number of
// new parts.
type provenSet struct {
	recent, older map[ID]clock.Time
}

func newProvenSet() provenSet {
	return provenSet{recent: map[ID]clock.Time{}, older: map[ID]clock.Time{}}
}

func (s *provenSet) add(part ID, at clock.Time) {
	at = max(at, s.beganAt(part))
	if _, ok := s.recent[part]; !ok && len(s.recent) >= maxProven {
		s.older, s.recent = s.recent, map[ID]clock.Time{}
	}
	s.recent[part] = at
}

// beganAt returns when an answer with the part began; 0 is not known.
func (s *provenSet) beganAt(part ID) clock.Time {
	if at, ok := s.recent[part]; ok {
		return at
	}
	return s.older[part]
}
