package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/config"
)

type section struct {
	Zone   string `json:"zone"`
	Listen struct {
		Public string `json:"public"`
	} `json:"listen"`
	Limit int `json:"limit"`
}

func (s *section) Check(report func(path, problem string)) {
	if s.Listen.Public == "" {
		report("listen.public", "must not be empty")
	}
}

func ExampleParse() {
	var s section
	err := config.Parse("gate.json", []byte(`{
  // The availability zone of the process.
  "zone": "a",
  "listen": {
    "public": "",
  },
}`), &s)
	fmt.Println(err)
	// Output: gate.json:5: listen.public: must not be empty
}

// Checks that each kind of error states the file, the line and the path of the setting.
func TestErrorLocation(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"{\n\"zone\": 3}", "f:2: zone: expected string, got number"},
		{"{\n\n\"zoen\": \"a\"}", "f:3: zoen: unknown setting"},
		{"{\n\"listen\": {\"public\": \"x\"},\n\"limit\": \"x\"}", "f:3: limit: expected int, got string"},
		{"{\n\"zone\": }", "f:2: "},
	} {
		var s section
		err := config.Parse("f", []byte(c.text), &s)
		assert.Assert(t, err != nil)
		assert.Assert(t, strings.HasPrefix(err.Error(), c.want), "%v", err)
	}
}
