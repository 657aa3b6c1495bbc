package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/config"
)

type list struct {
	Items []struct {
		ID   string `json:"id"`
		Name string `json:"name"`
	} `json:"items"`
}

func (*list) Check(report func(path, problem string)) {
	report("items.1.name", "wrong")
	report("items.1.size", "missing")
}

// Checks that errors state the line of the invalid list entry, not of the first one. An absent
// setting gets the line of its entry.
func TestErrorLineInList(t *testing.T) {
	err := config.Parse("f", []byte(`{
  "items": [
    {"id": "a", "name": "x"},
    // The second entry is invalid.
    {
      "id": "b",
      "name": "y",
    },
  ],
}`), &list{})
	assert.Error(t, err, "f:7: items.1.name: wrong\nf:5: items.1.size: missing")
}
