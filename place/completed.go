package place

// maxCompletedOrders is the number of completed orders whose IDs are kept. An older order
// that arrives again is decided anew. That never overcommits memory; at worst it costs an
// unnecessary load or unload.
const maxCompletedOrders = 1024

// completedOrders holds the IDs of the last completed orders, so that a repeated order has
// no effect.
type completedOrders struct {
	ids  map[string]struct{}
	ring []string
	next int
}

func newCompletedOrders() completedOrders {
	return completedOrders{ids: map[string]struct{}{}, ring: make([]string, maxCompletedOrders)}
}

func (c *completedOrders) has(id string) bool {
	_, ok := c.ids[id]
	return ok
}

func (c *completedOrders) add(id string) {
	if c.has(id) {
		return
	}
	delete(c.ids, c.ring[c.next])
	c.ring[c.next] = id
	c.ids[id] = struct{}{}
	c.next = (c.next + 1) % len(c.ring)
}
