package notice

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
)

// maxPause bounds the pause that an upstream can ask for.
const maxPause = clock.Hour

// ParsePause returns the longest pause that values of the header Retry-After (RFC 9110) ask for, at most an
// hour. Dates and malformed values ask for none.
func ParsePause(values []string) clock.Span {
	pause := clock.Span(0)
	for _, v := range values {
		pause = max(pause, parseSeconds(v))
	}
	return pause
}

// parseSeconds returns a decimal number of seconds, with or without a fraction or an exponent, rounded up to
// milliseconds and at most maxPause. It returns 0 for other values.
func parseSeconds(s string) clock.Span {
	s = strings.TrimSpace(s)
	if strings.Trim(s, "+-.0123456789eE") != "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || seconds <= 0 {
		return 0
	}
	return clock.Span(math.Ceil(min(seconds, maxPause.Seconds()) * float64(clock.Second)))
}
