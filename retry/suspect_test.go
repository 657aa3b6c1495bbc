package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/retry"
)

// Guards against verdicts in the store on sound requests that many upstreams ran when these ended for another reason: they
// would be refused after a restart of all gateways too.
func TestAnsweredRequestIsNotProvenToCrash(t *testing.T) {
	s := retry.NewSuspects()
	for _, c := range []retry.CrashID{1, 2} {
		assert.Assert(t, !s.Proven(1000, 7))
		s.RecordCrash(1000, 7, c)
	}
	assert.Assert(t, s.Proven(1000, 7))
	s.RecordSuccess(7)
	assert.Assert(t, !s.Proven(1000, 7) && s.Action(1000, 7) == retry.Reject)
}
