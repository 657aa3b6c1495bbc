package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

// Operations of orders.
const (
	OpLoad   = "load"
	OpUnload = "unload"
)

// Order is the body of POST /orders. An order for an adapter names its base model
// in Model.
type Order struct {
	Fence   units.Fence   `json:"fence"`
	Op      string        `json:"op"`
	Model   units.ModelID `json:"model"`
	Adapter units.ModelID `json:"adapter,omitempty"`
	Version int64         `json:"version,omitempty"`
	Bytes   units.Bytes   `json:"bytes"`
}

// OrderResult is the answer to an order that took effect.
type OrderResult struct {
	// State is Resident after a load and empty after an unload.
	State  State  `json:"state"`
	Memory Memory `json:"memory"`
}

// Memory is the accelerator memory for models and adapters.
type Memory struct {
	Capacity units.Bytes `json:"capacity"`
	Used     units.Bytes `json:"used"`
}

func (o *Order) target() units.ModelID {
	if o.Adapter != "" {
		return o.Adapter
	}
	return o.Model
}

func (o *Order) entry() *Model {
	m := &Model{ID: o.target(), Version: o.Version, Bytes: o.Bytes, State: Loading}
	if o.Adapter != "" {
		m.Base = o.Model
	}
	return m
}

// orders runs an order to its end before it answers, also when its caller leaves.
func (s *Server) orders(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	ctx, cancel := s.lifetime()
	defer cancel()
	clock.Sleep(ctx, s.faults.Get().OrderDelayMillis.Duration())
	e := s.execute(ctx, &o)
	if s.take(func(f *Faults) *int { return &f.LoseOrderResponses }) {
		serve.Abort()
	}
	if e != nil {
		e.write(w)
		return
	}
	s.mu.Lock()
	v := OrderResult{Memory: s.memorySize()}
	if m := s.memory.find(o.target(), o.Version); m != nil {
		v.State = m.State
	}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, v)
}

// lifetime returns a context that ends with the server.
func (s *Server) lifetime() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-s.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// ExecuteOrder executes the order as POST /orders does, without faults.
func (s *Server) ExecuteOrder(ctx context.Context, o Order) error {
	if e := s.execute(ctx, &o); e != nil {
		return e
	}
	return nil
}

func (s *Server) memorySize() Memory {
	return Memory{Capacity: s.options.Capacity, Used: s.memory.used()}
}

func (s *Server) execute(ctx context.Context, o *Order) *apiError {
	if o.Model == "" && o.Adapter == "" || o.Op != OpLoad && o.Op != OpUnload {
		return errInvalid("order needs a model or adapter and op load or unload")
	}
	if e := s.checkFence(o.Fence); e != nil {
		return e
	}
	if o.Op == OpLoad {
		return s.load(ctx, o)
	}
	return s.unload(ctx, o)
}

func (s *Server) checkFence(f units.Fence) *apiError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f >= s.memory.fence {
		s.memory.fence = f
		return nil
	}
	if s.options.CheckFence {
		s.counts.RefusedOrders++
		return errFence
	}
	s.counts.StaleOrders++
	return nil
}

// load occupies the memory first, whether or not it is free, and then fetches the
// weights.
func (s *Server) load(ctx context.Context, o *Order) *apiError {
	s.mu.Lock()
	instance := s.instance
	if m := s.memory.find(o.target(), o.Version); m != nil {
		resident := m.State == Resident
		s.mu.Unlock()
		if resident {
			return nil
		}
		return s.settle(ctx, o, m, instance)
	}
	if o.Adapter != "" && s.memory.resident(o.Model) == nil {
		s.mu.Unlock()
		return errNotResident(o.Model)
	}
	m := o.entry()
	s.memory.entries = append(s.memory.entries, m)
	used := s.memory.used()
	s.counts.MaxUsed = max(s.counts.MaxUsed, used)
	if used > s.options.Capacity {
		s.counts.Overcommits++
	}
	s.mu.Unlock()

	e := s.fetch(ctx, m)
	if e == nil {
		clock.Sleep(ctx, s.options.LoadTime.Duration())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.instance != instance:
		return errRestarted
	case e != nil:
		s.memory.remove(m)
		return e
	}
	m.State = Resident
	s.counts.Loads++
	return nil
}

// settle waits until an order in progress for the same entry is over and then
// executes the order again.
func (s *Server) settle(ctx context.Context, o *Order, m *Model, instance int64) *apiError {
	for ctx.Err() == nil {
		s.mu.Lock()
		busy := m.State != Resident && s.memory.find(m.ID, m.Version) == m
		same := s.instance == instance
		s.mu.Unlock()
		switch {
		case !same:
			return errRestarted
		case !busy:
			return s.execute(ctx, o)
		}
		clock.Sleep(ctx, hangPoll.Duration())
	}
	return errRestarted
}

func (s *Server) unload(ctx context.Context, o *Order) *apiError {
	s.mu.Lock()
	instance := s.instance
	m := s.memory.find(o.target(), o.Version)
	switch {
	case m == nil:
		s.mu.Unlock()
		return nil
	case m.State != Resident:
		s.mu.Unlock()
		return s.settle(ctx, o, m, instance)
	case s.memory.hasAdapters(m):
		s.mu.Unlock()
		return errAdapters
	}
	m.State = Unloading
	if s.memory.resident(m.ID) == nil {
		s.kill(m.ID)
	}
	s.mu.Unlock()
	clock.Sleep(ctx, s.options.UnloadTime.Duration())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != instance {
		return errRestarted
	}
	s.memory.remove(m)
	s.counts.Unloads++
	return nil
}

// kill ends the requests that need the model.
func (s *Server) kill(id units.ModelID) {
	for _, q := range s.batch.all() {
		if q.target != id && q.base != id {
			continue
		}
		s.batch.remove(q)
		s.counts.AbortedByUnload++
		q.record.Outcome = Failed
		q.end(errKilled)
	}
}

// fetch reads the weights from the weight store.
func (s *Server) fetch(ctx context.Context, m *Model) *apiError {
	if s.options.WeightStore == "" {
		return nil
	}
	address := "http://" + s.options.WeightStore + "/weights/" + url.PathEscape(string(m.ID))
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errInvalid(err.Error())
	}
	r, err := s.weights.Do(q)
	if err != nil {
		return errWeights(err.Error())
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errWeights(fmt.Sprintf("weight store answered %d", r.StatusCode))
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return errWeights(err.Error())
	}
	return nil
}

// LoadModel makes the model resident at once, as if it had been configured.
func (s *Server) LoadModel(m Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.State = Resident
	s.memory.entries = append(s.memory.entries, &m)
	s.counts.MaxUsed = max(s.counts.MaxUsed, s.memory.used())
}

// Models returns the models and adapters in memory.
func (s *Server) Models() []Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.memory.list(false), s.memory.list(true)...)
}
