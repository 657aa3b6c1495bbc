package crowd

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// listMachine has room for more connections than a crowd opens.
var listMachine = machine{megabytes: 96, descriptors: 3000}

// listBytes is the size of a list in a head of legal size.
const listBytes = 14 << 10

// items returns a list of short items of at most 36 names, each with the suffix.
func items(suffix, separator string) string {
	var b strings.Builder
	for i := 0; b.Len() < listBytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i%36), 36))
		b.WriteString(suffix)
		b.WriteString(separator)
	}
	return strings.TrimSuffix(b.String(), separator)
}

// differentItems is items with a different name for each.
func differentItems(separator string) string {
	var b strings.Builder
	for i := 0; b.Len() < listBytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36))
		b.WriteString(separator)
	}
	return strings.TrimSuffix(b.String(), separator)
}

// listTargets returns requests of legal size whose head has one list of many short items, by name.
func listTargets() map[string]target {
	public := func(p *process) string { return p.public }
	ready := func(p *process) string { return p.ready }
	body := strings.Repeat("a", legal)
	parts := fakes.PromptField(items(":1", ","))
	trailer := "Trailer: " + differentItems(",") + "\r\n"
	whole := begin("POST", "/read/a", parts, length(6), headEnd) + "prompt"
	return map[string]target{
		"parts, one byte short":     {public, send(begin("POST", "/read/a", parts, length(legal), headEnd) + body[1:])},
		"parts, no body":            {public, send(begin("POST", "/read/a", parts, length(100), headEnd))},
		"parts, whole":              {public, repeat(whole, whole, pieceDelay)},
		"parts, nobody reads":       {public, repeat("", begin("GET", "/read/large", parts, headEnd), pieceDelay)},
		"trailer items, no body":    {public, send(begin("POST", "/read/a", chunked, trailer, headEnd))},
		"trailer items, no route":   {public, send(begin("POST", "/nowhere", chunked, trailer, headEnd))},
		"trailer items, readiness":  {ready, send(begin("POST", "/readiness", chunked, trailer, headEnd))},
		"connection items, no body": {public, send(begin("POST", "/read/a", "Connection: "+differentItems(",")+"\r\n", length(100), headEnd))},
		"codings":                   {public, send(begin("POST", "/read/a", "Transfer-Encoding: "+items("", ",")+"\r\n", headEnd))},
		"query items, no body":      {public, send(begin("POST", "/read/a?"+differentItems("&"), length(100), headEnd))},
		"path segments, no body":    {public, send(begin("POST", "/read/"+items("", "/"), length(100), headEnd))},
		"escaped path, no body":     {public, send(begin("POST", "/read/"+items("%41", "/"), length(100), headEnd))},
		"cookie items, no body":     {public, send(begin("POST", "/read/a", "Cookie: "+differentItems(";")+"\r\n", length(100), headEnd))},
		"type parameters, no body":  {public, send(begin("POST", "/read/a", "Content-Type: a/b;"+differentItems("=1;")+"\r\n", length(100), headEnd))},
		"trailers left open":        {public, send(begin("POST", "/read/a", chunked, headEnd) + "0\r\n" + shortFields(3000))},
		"extension left open":       {public, send(begin("POST", "/read/a", chunked, headEnd) + "1;" + body[:3000])},
	}
}

// Guards against a process that takes more memory than its machine has for heads of legal size: a list of many short items takes
// many times its bytes once it is parsed.
func TestEntryOutlivesCrowdsOfLists(t *testing.T) {
	for name, test := range listTargets() {
		t.Run(name, func(t *testing.T) {
			p := startEntryOn(t, listMachine)
			p.run(func() target { return test })
			p.check()
		})
	}
}

// Guards against bounds that hold for callers of one kind only, where there is room for as many connections as callers open.
func TestEntryOutlivesMixedCrowdOfLists(t *testing.T) {
	all := slices.Concat(slices.Collect(maps.Values(listTargets())), slices.Collect(maps.Values(entryTargets())))
	p := startEntryOn(t, listMachine)
	p.run(func() target { return all[rand.IntN(len(all))] })
	p.check()
}
