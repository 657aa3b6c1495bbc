package rate

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/magnolialever/magnolialever/wire"
)

// OwnersKey is the key of the table of owners in the store.
const OwnersKey = "/control/owners"

// EncodeTable returns the table as it is stored.
func EncodeTable(t *SlotTable) ([]byte, error) {
	b, err := proto.Marshal(t.Frame().GetOwners())
	if err != nil {
		return nil, fmt.Errorf("encode owners: %w", err)
	}
	return b, nil
}

// DecodeTable reads a table as it is stored.
func DecodeTable(b []byte) (*SlotTable, error) {
	o := &wire.Owners{}
	if err := proto.Unmarshal(b, o); err != nil {
		return nil, fmt.Errorf("decode owners: %w", err)
	}
	return TableFromWire(o), nil
}
