package rate

// faults switches protections off, so that tests can show that each is needed.
type faults struct {
	freeHeld     bool // held tokens do not occupy burst
	plainRefund  bool // refunds ignore how full the bucket was
	noRaise      bool // refunds do not raise the recorded peaks
	noEpoch      bool // agents ignore epochs
	noExpiry     bool // agents ignore expiry
	earlyStart   bool // a new owner does not wait for the old one
	fullStart    bool // a new owner starts with a full bucket
	startAtIssue bool // clients report the start when the ticket is made
	replay       bool // agents accept an attempt twice
	ignoreWait   bool // clients use tokens before they are refilled
}
