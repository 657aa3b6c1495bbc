package clock

// MaxSpan is a century, the longest span that FromMilliseconds returns. It can be added to a time and converted to
// a time.Duration, which holds 292 years, without an overflow.
const MaxSpan = 100 * 365 * 24 * Hour

// FromMilliseconds converts a number from outside that is a length of time in milliseconds, rounded down: one that
// is negative or not a number is 0, and MaxSpan is the longest. The conversion of the language differs between
// processors beyond the range of the type.
func FromMilliseconds(ms float64) Span {
	if ms > 0 {
		return Span(min(ms, float64(MaxSpan)))
	}
	return 0
}
