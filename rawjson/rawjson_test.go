package rawjson_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/rawjson"
)

func ExampleElements() {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	list, err := rawjson.Elements([]byte(`[{"a":"],\"["}, ` + deep + `, 1e999]`))
	fmt.Println(len(list), string(list[0]), len(list[1]), string(list[2]), rawjson.Depth(list[1]), err)
	// Output: 3 {"a":"],\"["} 40000 1e999 20000 <nil>
}

// Guards against a cut-off or foreign document that is taken for a shorter list.
func TestMalformed(t *testing.T) {
	for _, data := range []string{``, ` `, `null`, `[`, `[1`, `[1,`, `[1,]`, `[,1]`, `[1]]`, `[1][2]`, `["a]`, `["a\"]`, `[{]`, `[1:2]`} {
		_, err := rawjson.Elements([]byte(data))
		assert.ErrorIs(t, err, rawjson.ErrMalformed, data)
	}
	for _, data := range []string{`[]`, `{`, `{"a"}`, `{"a":}`, `{"a":1`, `{"a":1,}`, `{:1}x`} {
		_, err := rawjson.Members([]byte(data))
		assert.ErrorIs(t, err, rawjson.ErrMalformed, data)
	}
}

// Guards against parts that differ from those that encoding/json finds in valid documents.
func FuzzParts(f *testing.F) {
	for _, data := range []string{`[]`, ` [ 1 , "a\\" ,{"b":[2]}, null ] `, `{}`, `{"a" : 1, "\u0062":{"c":[]}, "a":[ ]}`, `["\"",[[]]]`} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, elementsErr := rawjson.Elements(data)
		members, membersErr := rawjson.Members(data)
		rawjson.Depth(data)
		var list []json.RawMessage
		if json.Unmarshal(data, &list) == nil && list != nil {
			assert.NilError(t, elementsErr)
			assert.Equal(t, len(elements), len(list))
			for i := range list {
				assert.Equal(t, string(elements[i]), string(list[i]))
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(data, &object) == nil && object != nil {
			assert.NilError(t, membersErr)
			last := map[string]json.RawMessage{}
			for _, m := range members {
				last[m.Name] = m.Value
			}
			assert.DeepEqual(t, last, object)
		}
	})
}
