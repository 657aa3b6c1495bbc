package rate

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/magnolialever/magnolialever/wire"
)

// OwnersKey is the key of the slot table in the store.
const OwnersKey = "/control/owners"

// EncodeTable returns the stored form of a table.
func EncodeTable(t *SlotTable) ([]byte, error) {
	b, err := proto.Marshal(t.Frame().GetOwners())
	if err != nil {
		return nil, fmt.Errorf("encode slot table: %w", err)
	}
	return b, nil
}

// DecodeTable parses the stored form of a table.
func DecodeTable(b []byte) (*SlotTable, error) {
	o := &wire.Owners{}
	if err := proto.Unmarshal(b, o); err != nil {
		return nil, fmt.Errorf("decode slot table: %w", err)
	}
	return TableFromWire(o), nil
}
