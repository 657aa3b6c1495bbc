package gauge

// features are what the time of a request depends on, scaled so that usual values are near 1.
type features [3]float64

// curve is a linear function of features. Its weights are learned from observations, each within its bounds.
type curve struct {
	weights, least, most features
	// observed is the number of observations so far.
	observed int
}

const (
	// minLearnStep is the part of an error that one observation corrects, once there were many.
	minLearnStep = 0.03
	// learnOffset bounds that part for the first observations, which correct 1/(observed+learnOffset).
	learnOffset = 3.0
	// weightRange bounds the weights to the start values times or divided by it, so that odd observations leave a curve
	// that grows with the load.
	weightRange = 16.0
)

// newCurve returns a curve with the start values as weights.
func newCurve(start features) curve {
	c := curve{weights: start}
	for i, w := range start {
		c.least[i], c.most[i] = w/weightRange, w*weightRange
	}
	return c
}

func (c *curve) at(x features) float64 {
	sum := 0.0
	for i, w := range c.weights {
		sum += w * x[i]
	}
	return sum
}

// learn moves the weights towards an observed value. One far above the expected value counts as twice that, so that single stalls
// don't bend the curve.
func (c *curve) learn(x features, value float64) {
	expected, norm := c.at(x), 0.0
	for _, v := range x {
		norm += v * v
	}
	if norm <= 0 {
		return
	}
	step := max(minLearnStep, 1/(float64(c.observed)+learnOffset)) * (min(value, 2*expected) - expected) / norm
	for i, v := range x {
		c.weights[i] = min(max(c.weights[i]+step*v, c.least[i]), c.most[i])
	}
	c.observed++
}
