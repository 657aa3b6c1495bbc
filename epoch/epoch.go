// Package epoch numbers the changes of a store that may come back from an older copy. Each return begins a new era, in which
// the store gives out revisions again that it has given out before. A Revision that holds both the era and the store's own
// number grows over all eras, and so do the epochs of leaders, which are the revisions at which they took their key. The
// package performs no I/O.
package epoch

import (
	"strconv"

	"github.com/magnolialever/magnolialever/units"
)

// Era counts the returns of the store; 0 is that of a store that never loses anything.
type Era int64

const (
	// revisionBits is the number of low bits with the store's own revision: at 1,000 writes a second it lasts for 34 years.
	revisionBits = 40
	// revisionLimit is the least revision that doesn't fit into them.
	revisionLimit = 1 << revisionBits
	// maxEra is the greatest era for which the number stays positive. Up to 8,191 it also stays below 2^53, so that every
	// reader of JSON keeps it exactly.
	maxEra = 1<<(63-revisionBits) - 1
)

// ParseEra parses an era in decimal digits. It returns false for anything else and for one that is out of range.
func ParseEra(s string) (Era, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	return Era(n), err == nil && Valid(n)
}

// Valid reports whether n is an era.
func Valid(n int64) bool { return n >= 0 && n <= maxEra }

// Join returns the revision over all eras of a store's own revision in an era. Revisions of era 0 stay as they are. It
// returns false if the store's revision is negative or too large to be distinguished from one of the next era.
func Join(e Era, own int64) (units.Revision, bool) {
	if e == 0 {
		return units.Revision(own), true
	}
	if own < 0 || own >= revisionLimit {
		return 0, false
	}
	return units.Revision(int64(e)<<revisionBits | own), true
}

// Of returns the era of a revision.
func Of(r units.Revision) Era { return Era(max(int64(r), 0) >> revisionBits) }

// OfEpoch returns the era of a leader's epoch.
func OfEpoch(e units.Epoch) Era { return Of(units.Revision(e)) }

// Own returns the store's own number of a revision.
func Own(r units.Revision) int64 {
	if r < 0 {
		return int64(r)
	}
	return int64(r) & (revisionLimit - 1)
}

// MayPrecede reports whether a change that is read in a later era at r may have been made before the one at seen: the copy
// may hold it, or it was written since.
func MayPrecede(r, seen units.Revision) bool { return Of(r) > Of(seen) && Own(r) < Own(seen) }
