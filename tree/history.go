package tree

import "slices"

// MaxHistory is the maximum number of changes in a team's history.
const MaxHistory = 20

// maxSummaryBytes limits the size of the history within a team's stored value.
const maxSummaryBytes = 400

// AppendHistory returns a copy of h with c appended, trimmed to the last MaxHistory
// changes.
func AppendHistory(h []Change, c Change) []Change {
	if len(c.Summary) > maxSummaryBytes {
		c.Summary = c.Summary[:maxSummaryBytes] + "…"
	}
	h = append(slices.Clone(h), c)
	return h[max(0, len(h)-MaxHistory):]
}
