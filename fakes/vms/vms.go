// Package vms is a stand-in for the platform's list of live and leaving VMs.
package vms

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

// VM is one entry of the list.
type VM struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Group   string `json:"group"`
}

// Values of Role and State.
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
	// VMs are the entries at the start.
	VMs []VM
	// Lag is how long a change takes to show.
	Lag clock.Span
}

// Faults are the switchable faults.
type Faults struct {
	// Outage cuts every call.
	Outage bool `json:"outage"`
	// DelayMillis holds every answer.
	DelayMillis clock.Span `json:"delay_millis"`
	// LagMillis is how long a change takes to show.
	LagMillis clock.Span `json:"lag_millis"`
}

type version struct {
	at  clock.Time
	vms []VM
}

// Server is the stand-in.
type Server struct {
	serve.Base[Faults]

	mu sync.Mutex
	// versions are the lists that a reader may still get, oldest first.
	versions []version
	calls    int64
}

// New opens the listener.
func New(o Options) (*Server, error) {
	s := &Server{versions: []version{{vms: append([]VM{}, o.VMs...)}}}
	s.Update(func(f *Faults) { f.LagMillis = o.Lag })
	m := http.NewServeMux()
	m.HandleFunc("GET /vms", s.list)
	m.HandleFunc("POST /fault/set", s.serveSet)
	m.HandleFunc("POST /fault/remove", s.serveRemove)
	m.HandleFunc("GET /fault/calls", s.serveCalls)
	if err := s.Listen("vm list", o.Address, m); err != nil {
		return nil, err
	}
	return s, nil
}

// SetOutage starts or ends an outage.
func (s *Server) SetOutage(on bool) { s.Update(func(f *Faults) { f.Outage = on }) }

// Polls returns the number of polls received.
func (s *Server) Polls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set adds the VMs or replaces those with the same id.
func (s *Server) Set(vms ...VM) {
	s.change(func(list []VM) []VM {
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

// SetState changes the state of the VM, such as to Leaving.
func (s *Server) SetState(id, state string) {
	s.change(func(list []VM) []VM {
		for i := range list {
			if list[i].ID == id {
				list[i].State = state
			}
		}
		return list
	})
}

// Remove takes the VMs off the list.
func (s *Server) Remove(ids ...string) {
	s.change(func(list []VM) []VM {
		return slices.DeleteFunc(list, func(v VM) bool { return slices.Contains(ids, v.ID) })
	})
}

func (s *Server) change(edit func([]VM) []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.versions[len(s.versions)-1].vms
	s.versions = append(s.versions, version{at: clock.System{}.Now(), vms: edit(slices.Clone(last))})
}

// visible returns the newest list that is older than the lag.
func (s *Server) visible() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	limit := clock.System{}.Now().Add(-s.Faults().LagMillis)
	n := 0
	for i, v := range s.versions {
		if !v.at.After(limit) {
			n = i
		}
	}
	s.versions = s.versions[n:]
	return s.versions[0].vms
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults()
	if f.Outage {
		serve.Abort()
	}
	time.Sleep(f.DelayMillis.Duration())
	serve.WriteJSON(w, http.StatusOK, s.visible())
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

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, struct {
		Polls int64 `json:"polls"`
	}{s.Polls()})
}
