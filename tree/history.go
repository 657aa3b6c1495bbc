package tree

import "slices"

// MaxHistory is the number of changes that a value keeps.
const MaxHistory = 20

// maxSummaryBytes bounds what the history adds to the size of a value.
const maxSummaryBytes = 400

// AppendHistory returns the history h with the change c added.
func AppendHistory(h []Change, c Change) []Change {
	if len(c.Summary) > maxSummaryBytes {
		c.Summary = c.Summary[:maxSummaryBytes] + "…"
	}
	h = append(slices.Clone(h), c)
	return h[max(0, len(h)-MaxHistory):]
}
