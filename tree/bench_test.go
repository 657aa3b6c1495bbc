package tree_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

const benchTeams = 10

// large returns the value of one of ten teams with its part of the models, adapters
// and keys.
func large(team, models, adapters, keys int) *tree.Team {
	v := &tree.Team{Customers: []tree.Customer{{ID: units.CustomerID(fmt.Sprint("c", team)), Rate: 1, Burst: 1}}}
	for i := team; i < models; i += benchTeams {
		v.Models = append(v.Models, tree.Model{ID: units.ModelID(fmt.Sprint("m", i)), Bytes: 1 << 30})
	}
	for i := team; i < adapters; i += benchTeams {
		base := v.Models[i/benchTeams%len(v.Models)].ID
		v.Adapters = append(v.Adapters, tree.Adapter{ID: units.ModelID(fmt.Sprint("a", i)), Base: base, Bytes: 1 << 20})
	}
	for i := team; i < keys; i += benchTeams {
		v.Keys = append(v.Keys, tree.Key{
			ID: units.KeyID(fmt.Sprint("k", i)), Hash: tree.HashSecret(fmt.Sprint("s", i)), Customer: v.Customers[0].ID,
		})
	}
	return v
}

var sizes = []struct{ models, adapters, keys int }{{25, 65, 50}, {240, 2000, 2000}, {960, 8000, 8000}}

func fill(b *testing.B, models, adapters, keys int) (*tree.Snapshot, *tree.Team) {
	b.Helper()
	s := tree.Empty()
	var first *tree.Team
	for i := range benchTeams {
		v := large(i, models, adapters, keys)
		data, err := tree.Encode(v)
		assert.NilError(b, err)
		s, _, err = s.Merge(units.TeamID(fmt.Sprint("t", i)), 1, data)
		assert.NilError(b, err)
		if first == nil {
			first = v
		}
	}
	return s, first
}

// BenchmarkMerge withdraws one key of one of ten teams.
func BenchmarkMerge(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/keys=%d", z.models, z.adapters, z.keys), func(b *testing.B) {
			s, v := fill(b, z.models, z.adapters, z.keys)
			v.Keys[0].Withdrawn = true
			data, err := tree.Encode(v)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, m, err := s.Merge("t0", 2, data)
				if err != nil || len(m.InvalidatedKeys) != 1 {
					b.Fatal(m, err)
				}
			}
		})
	}
}

// BenchmarkLookup finds a key and a target, as each request does.
func BenchmarkLookup(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/keys=%d", z.models, z.adapters, z.keys), func(b *testing.B) {
			s, _ := fill(b, z.models, z.adapters, z.keys)
			h := tree.HashSecret("s20")
			b.ReportAllocs()
			for b.Loop() {
				_, ok := s.Caller(h)
				_, known := s.Target("a20")
				if !ok || !known {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkSnapshot shows the heap that one snapshot holds, and the bytes of the
// teams' values of which it is made.
func BenchmarkSnapshot(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/keys=%d", z.models, z.adapters, z.keys), func(b *testing.B) {
			var held, values uint64
			for b.Loop() {
				before := heap()
				s, _ := fill(b, z.models, z.adapters, z.keys)
				held, values = heap()-before, 0
				for _, v := range s.Versions() {
					values += uint64(len(s.Data(v.Team)))
				}
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(held)/1024, "KB-held")
			b.ReportMetric(float64(values)/1024, "KB-values")
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
