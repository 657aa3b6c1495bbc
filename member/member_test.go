package member_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against limits shared by fewer gateways while one that lost the store still uses its
// share.
func TestLostGatewayStillCounts(t *testing.T) {
	l := member.NewList()
	for _, vm := range []units.VMID{"one", "two", "three"} {
		l.Set(member.Gateway{VM: vm, Address: "10.0.0.1:1"})
	}
	l.Remove(1000, "two")
	l.RemoveUnlisted(2000, map[units.VMID]bool{"one": true, "three": true})
	assert.Equal(t, l.Count(20_000), 3)
	assert.Equal(t, len(l.All()), 3)
	assert.Equal(t, l.Count(31_001), 2)
	l.Set(member.Gateway{VM: "two", Address: "10.0.0.2:1"})
	assert.Equal(t, l.Count(31_002), 3)
}

// Guards against a gateway that fails on keys from other writers.
func TestDecodeRefusesBadKeys(t *testing.T) {
	for _, bad := range []string{
		"", "null", "{}", `{"vm":"a"}`, `{"vm":3,"address":"a"}`, `{"vm":"a","address":"10.0.0.1"}`, `{"vm":"a","address":"10.0.0.1:0"}`,
		`{"vm":"a","address":"10.0.0.1:99999"}`, `{"vm":"a","address":"name:80"}`, `{"vm":"a","address":"10.0.0.1:1","cores":1e308}`,
		`{"vm":"a","address":"10.0.0.1:1","cores":-1}`, `{"vm":"a","address":"10.0.0.1:1","more":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}",
	} {
		_, err := member.Decode([]byte(bad))
		assert.Assert(t, err != nil, "%.100s", bad)
	}
	g := member.Gateway{VM: "one", Address: "10.0.0.1:7600", Zone: "zone-a"}
	data, err := g.Encode()
	assert.NilError(t, err)
	back, err := member.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, g)
	vm, ok := member.ParseKey(member.Key("one"))
	assert.Assert(t, ok)
	assert.Equal(t, vm, units.VMID("one"))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"vm":"a","address":"10.0.0.1:7600","zone":"z","cores":0.2}`))
	f.Add([]byte(`{"vm":"a","address":"10.0.0.1:99999","cores":1e308}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		g, err := member.Decode(data)
		if err == nil && (g.VM == "" || g.Address == "" || g.Cores < 0 || g.Cores > member.MaxCores) {
			t.Errorf("took %+v for a gateway", g)
		}
	})
}
