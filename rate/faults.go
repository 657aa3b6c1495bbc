package rate

// faults disables safeguards, so that tests can show that each is needed.
type faults struct {
	ignoreReserved     bool // reserved tokens do not occupy burst
	refundIgnoresPeaks bool // refunds ignore how full the bucket was since the start
	keepPeaks          bool // refunds do not raise the recorded peaks
	ignoreEpoch        bool // agents accept old epochs
	ignoreExpiry       bool // agents accept expired permits
	activateEarly      bool // a new owner does not wait for the former one
	startFull          bool // a new owner starts with full buckets
	reportStartAtIssue bool // clients report the start when they issue the reservation
	acceptReplay       bool // agents admit an attempt twice
	overdrawBurst      bool // grants of future refills may exceed the burst
	ignoreRefillWait   bool // clients use tokens before they are refilled
}
