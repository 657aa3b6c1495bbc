package store

import (
	"github.com/google/uuid"

	"github.com/magnolialever/magnolialever/units"
)

// A stored value starts with the attempt id of its write as a line of text, so that a
// client can recognise its own write.
const attemptBytes = 37

type stored struct {
	Entry
	attempt units.AttemptID
}

func newAttempt() units.AttemptID { return units.AttemptID(uuid.NewString()) }

func seal(a units.AttemptID, value []byte) []byte {
	b := make([]byte, 0, attemptBytes+len(value))
	b = append(b, a...)
	b = append(b, '\n')
	return append(b, value...)
}

// open splits a stored value. A value that another program wrote has no attempt
// id and is returned as it is.
func open(kv keyValue) stored {
	s := stored{Entry: Entry{
		Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision, Lease: kv.Lease,
	}}
	if len(kv.Value) < attemptBytes || kv.Value[attemptBytes-1] != '\n' {
		return s
	}
	id := string(kv.Value[:attemptBytes-1])
	if uuid.Validate(id) != nil {
		return s
	}
	s.attempt = units.AttemptID(id)
	s.Value = kv.Value[attemptBytes:]
	return s
}
