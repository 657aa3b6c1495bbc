package store

import (
	"github.com/google/uuid"

	"github.com/magnolialever/magnolialever/units"
)

// A stored value starts with the attempt ID of its write, a UUID and a newline, so that a
// client can recognize its own write after a lost response.
const attemptPrefixBytes = 37

// storedEntry is an entry with the ID of the attempt that wrote it, if any.
type storedEntry struct {
	Entry
	attempt units.AttemptID
}

func newAttemptID() units.AttemptID { return units.AttemptID(uuid.NewString()) }

// encodeValue returns the value as it is stored, after the attempt ID.
func encodeValue(attempt units.AttemptID, value []byte) []byte {
	data := make([]byte, 0, attemptPrefixBytes+len(value))
	data = append(data, attempt...)
	data = append(data, '\n')
	return append(data, value...)
}

// decodeValue splits the attempt ID from a stored value. A value written by another program has
// no attempt ID and is returned unchanged.
func decodeValue(kv keyValue) storedEntry {
	entry := storedEntry{Entry: Entry{
		Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision,
		CreateRevision: kv.CreateRevision, Lease: kv.Lease,
	}}
	if len(kv.Value) < attemptPrefixBytes || kv.Value[attemptPrefixBytes-1] != '\n' {
		return entry
	}
	id := string(kv.Value[:attemptPrefixBytes-1])
	if uuid.Validate(id) != nil {
		return entry
	}
	entry.attempt = units.AttemptID(id)
	entry.Value = kv.Value[attemptPrefixBytes:]
	return entry
}
