package fleet

// ReportedLoad is what an upstream says of its load in an answer, over all gateways.
type ReportedLoad struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes there at this moment, compared with usual; 0 is unknown.
	Slowness float64
}
