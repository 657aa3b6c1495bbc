package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against an entry of another writer that replaces the registration of a gateway, or counts as one more:
// limits are divided by their number.
func TestRegistrationUnderAnotherKey(t *testing.T) {
	c := &controller{gateway: &Gateway{settings: &platform.Settings{VM: "self"}}, members: member.NewList()}
	for _, key := range []string{"one", "odd"} {
		c.handleItem(1000, itemReceived{item: platform.Item{Key: member.Key(units.VMID(key)), Value: []byte(`{"vm":"one","address":"10.0.0.1:1"}`)}})
	}
	c.handleItem(1000, itemReceived{item: platform.Item{Key: member.Key("odd"), Value: []byte(`{"vm":"self","address":"10.0.0.2:1"}`)}})
	registered := c.members.Registered()
	assert.Equal(t, len(registered), 1)
	assert.Equal(t, registered[0].Address, "10.0.0.1:1")
}
