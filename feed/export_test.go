package feed

// RememberedEntries returns the number of keys of which the Feed remembers that they were logged or read.
func (f *Feed) RememberedEntries() int { return len(f.ignoredRevisions) + len(f.readRevisions) }
