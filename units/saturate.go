package units

// maxCount is the largest integer below which a float64 represents each one. Sums and products of a few counts up
// to it fit an int64.
const maxCount = 1 << 53

// Saturate converts a number from outside to an integer: the nearest one from -2^53 to 2^53, rounded towards 0, or 0
// if it is not a number. The conversion of the language differs between processors beyond the range of the type.
func Saturate[T ~int | ~int64](v float64) T {
	if v != v {
		return 0
	}
	return T(min(max(v, -maxCount), maxCount))
}
