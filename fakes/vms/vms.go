// Package vms is a fake of the platform's list of live and draining VMs.
package vms

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

// VM is one entry of the list. Address is host:port.
type VM struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Group   string `json:"group"`
}

// Values of VM.Role and VM.State.
const (
	RoleEntry     = "entry"
	RoleUpstream  = "upstream"
	StateLive     = "live"
	StateDraining = "leaving"
)

// Options configure a Server.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// VMs is the initial list.
	VMs []VM
	// Lag is the delay after which a change becomes visible to readers.
	Lag clock.Span
}

// Faults are the injectable faults.
type Faults struct {
	// Outage closes the connection of every request.
	Outage bool `json:"outage"`
	// DelayMillis delays every response.
	DelayMillis clock.Span `json:"delay_millis"`
	// LagMillis is the delay after which a change becomes visible to readers.
	LagMillis clock.Span `json:"lag_millis"`
}

// snapshot is the list as it is since changedAt.
type snapshot struct {
	changedAt clock.Time
	vms       []VM
}

// Server is the fake.
type Server struct {
	serve.Base[Faults]

	mu sync.Mutex
	// snapshots are the lists that a reader may still get, oldest first.
	snapshots []snapshot
	polls     int64
}

// New opens the listener; Run serves it.
func New(o Options) (*Server, error) {
	s := &Server{snapshots: []snapshot{{vms: append([]VM{}, o.VMs...)}}}
	s.Update(func(f *Faults) { f.LagMillis = o.Lag })
	m := http.NewServeMux()
	m.HandleFunc("GET /vms", s.serveList)
	m.HandleFunc("POST /fault/set", s.serveSet)
	m.HandleFunc("POST /fault/remove", s.serveRemove)
	m.HandleFunc("GET /fault/calls", s.servePolls)
	if err := s.Listen("vm list", o.Address, m); err != nil {
		return nil, err
	}
	return s, nil
}

// SetOutage starts or ends an outage.
func (s *Server) SetOutage(on bool) { s.Update(func(f *Faults) { f.Outage = on }) }

// Polls returns the number of times that the list was read.
func (s *Server) Polls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls
}

// Set adds the VMs, or replaces those with the same ID.
func (s *Server) Set(vms ...VM) {
	s.appendSnapshot(func(list []VM) []VM {
		for _, v := range vms {
			i := slices.IndexFunc(list, func(o VM) bool { return o.ID == v.ID })
			if i < 0 {
				list = append(list, v)
			} else {
				list[i] = v
			}
		}
		return list
	})
}

// SetState changes the state of the VM with the ID, for example to StateDraining. An unknown
// ID has no effect.
func (s *Server) SetState(id, state string) {
	s.appendSnapshot(func(list []VM) []VM {
		for i := range list {
			if list[i].ID == id {
				list[i].State = state
			}
		}
		return list
	})
}

// Remove removes the VMs with the IDs from the list.
func (s *Server) Remove(ids ...string) {
	s.appendSnapshot(func(list []VM) []VM {
		return slices.DeleteFunc(list, func(v VM) bool { return slices.Contains(ids, v.ID) })
	})
}

// appendSnapshot applies edit to a copy of the latest list.
func (s *Server) appendSnapshot(edit func([]VM) []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.snapshots[len(s.snapshots)-1].vms
	s.snapshots = append(s.snapshots, snapshot{changedAt: clock.System{}.Now(), vms: edit(slices.Clone(latest))})
}

// visibleVMs returns the latest list that is at least as old as the lag, drops the lists
// before it, and counts the read.
func (s *Server) visibleVMs() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls++
	cutoff := clock.System{}.Now().Add(-s.Faults().LagMillis)
	newest := 0
	for i, v := range s.snapshots {
		if !v.changedAt.After(cutoff) {
			newest = i
		}
	}
	s.snapshots = s.snapshots[newest:]
	return s.snapshots[0].vms
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults()
	if f.Outage {
		serve.Abort()
	}
	time.Sleep(f.DelayMillis.Duration())
	serve.WriteJSON(w, http.StatusOK, s.visibleVMs())
}

func (s *Server) serveSet(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if serve.ReadJSON(w, r, &vms) {
		s.Set(vms...)
	}
}

func (s *Server) serveRemove(w http.ResponseWriter, r *http.Request) {
	var ids []string
	if serve.ReadJSON(w, r, &ids) {
		s.Remove(ids...)
	}
}

func (s *Server) servePolls(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, struct {
		Polls int64 `json:"polls"`
	}{s.Polls()})
}
