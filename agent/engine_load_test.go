package agent

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/rawjson"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against a report of an engine whose sizes overflow in sums, or are negative, and that shows more free memory
// than there is.
func TestOddSizesFreeNoMemory(t *testing.T) {
	for _, bytes := range []string{"4611686018427387904", "9223372036854775807", "-1000"} {
		text := strings.ReplaceAll(`{"memory":{"used":N,"capacity":N},"models":[{"id":"a","bytes":N},{"id":"b","bytes":N},{"id":"c","bytes":N}]}`, "N", bytes)
		load := &engineLoad{}
		assert.NilError(t, json.Unmarshal([]byte(text), load))
		l := place.NewLedger(place.Options{Capacity: 100})
		l.Observe(1, load.ledgerReport())
		assert.Assert(t, l.Free() <= units.Bytes(100), "%s: %d bytes are free", bytes, l.Free())
	}
}

func FuzzLoadReport(f *testing.F) {
	f.Add([]byte(`{"memory":{"used":-1,"capacity":9223372036854775807},"models":[{"id":"a","bytes":-1},null],"adapters":[{"id":"a","base":"a"}]}`))
	f.Add([]byte(`{"instance":"i","running":1e3,"models":[[]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		load := &engineLoad{}
		if rawjson.Unmarshal(data, load) != nil {
			return
		}
		l := place.NewLedger(place.Options{Capacity: 100})
		l.Observe(1, load.ledgerReport())
		if l.Free() < 0 || l.Free() > 100 {
			t.Errorf("%d of 100 bytes are free", l.Free())
		}
	})
}
