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

// Values of Order.Op.
const (
	OpLoad   = "load"
	OpUnload = "unload"
)

// Order is the body of POST /orders: it loads or unloads a model or an adapter. An order for
// an adapter names its base model in Model.
type Order struct {
	Fence   units.Fence   `json:"fence"`
	Op      string        `json:"op"`
	Model   units.ModelID `json:"model"`
	Adapter units.ModelID `json:"adapter,omitempty"`
	Version int64         `json:"version,omitempty"`
	Bytes   units.Bytes   `json:"bytes"`
}

// OrderResult is the response to an order that took effect.
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

// target returns the ID of the adapter, or of the model if the order is for a model.
func (o *Order) target() units.ModelID {
	if o.Adapter != "" {
		return o.Adapter
	}
	return o.Model
}

// newEntry returns the memory entry of a load order, in state Loading.
func (o *Order) newEntry() *Model {
	m := &Model{ID: o.target(), Version: o.Version, Bytes: o.Bytes, State: Loading}
	if o.Adapter != "" {
		m.Base = o.Model
	}
	return m
}

// serveOrders executes an order and then responds. The order is executed to its end even if
// the client disconnects.
func (s *Server) serveOrders(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	ctx, cancel := s.serverContext()
	defer cancel()
	clock.Sleep(ctx, s.faults.Get().OrderDelayMillis.Duration())
	e := s.execute(ctx, &o)
	if s.faults.Consume(func(f *Faults) *int { return &f.LoseOrderResponses }) {
		serve.Abort()
	}
	if e != nil {
		e.write(w)
		return
	}
	s.mu.Lock()
	v := OrderResult{Memory: s.memoryUsage()}
	if m := s.memory.find(o.target(), o.Version); m != nil {
		v.State = m.State
	}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, v)
}

// serverContext returns a context that is done when the server stops.
func (s *Server) serverContext() (context.Context, context.CancelFunc) {
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

// ExecuteOrder executes the order as POST /orders does, but without injected faults. It fails
// if the order is invalid or stale, the weight store refuses, a required model is absent, an
// adapter still needs the model, or the engine restarts meanwhile.
func (s *Server) ExecuteOrder(ctx context.Context, o Order) error {
	if e := s.execute(ctx, &o); e != nil {
		return e
	}
	return nil
}

// memoryUsage requires s.mu to be held.
func (s *Server) memoryUsage() Memory {
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
		return s.executeLoad(ctx, o)
	}
	return s.executeUnload(ctx, o)
}

// checkFence records a new highest fencing number. A lower one is counted, and refused if
// CheckFence is set.
func (s *Server) checkFence(f units.Fence) *apiError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f >= s.memory.highestFence {
		s.memory.highestFence = f
		return nil
	}
	if s.options.CheckFence {
		s.counts.RefusedOrders++
		return errStaleFence
	}
	s.counts.StaleOrders++
	return nil
}

// executeLoad allocates the memory, even beyond Capacity, and then fetches the weights. If
// that fails, it frees the memory.
func (s *Server) executeLoad(ctx context.Context, o *Order) *apiError {
	s.mu.Lock()
	instance := s.instance
	if m := s.memory.find(o.target(), o.Version); m != nil {
		resident := m.State == Resident
		s.mu.Unlock()
		if resident {
			return nil
		}
		return s.executeAfterPending(ctx, o, m, instance)
	}
	if o.Adapter != "" && s.memory.resident(o.Model) == nil {
		s.mu.Unlock()
		return errNotResident(o.Model)
	}
	m := o.newEntry()
	s.memory.entries = append(s.memory.entries, m)
	used := s.memory.used()
	s.counts.MaxUsed = max(s.counts.MaxUsed, used)
	if used > s.options.Capacity {
		s.counts.Overcommits++
	}
	s.mu.Unlock()

	e := s.fetchWeights(ctx, m)
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

// executeAfterPending waits for the end of a pending load or unload of m, and then executes
// the order.
func (s *Server) executeAfterPending(ctx context.Context, o *Order, m *Model, instance int64) *apiError {
	for ctx.Err() == nil {
		s.mu.Lock()
		pending := m.State != Resident && s.memory.find(m.ID, m.Version) == m
		sameInstance := s.instance == instance
		s.mu.Unlock()
		switch {
		case !sameInstance:
			return errRestarted
		case !pending:
			return s.execute(ctx, o)
		}
		clock.Sleep(ctx, pollInterval.Duration())
	}
	return errRestarted
}

// executeUnload ends the requests that need the model and then frees its memory. An absent
// model is no error.
func (s *Server) executeUnload(ctx context.Context, o *Order) *apiError {
	s.mu.Lock()
	instance := s.instance
	m := s.memory.find(o.target(), o.Version)
	switch {
	case m == nil:
		s.mu.Unlock()
		return nil
	case m.State != Resident:
		s.mu.Unlock()
		return s.executeAfterPending(ctx, o, m, instance)
	case s.memory.neededByAdapters(m):
		s.mu.Unlock()
		return errAdaptersLoaded
	}
	m.State = Unloading
	if s.memory.resident(m.ID) == nil {
		s.endSequences(m.ID)
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

// endSequences ends the requests for the model or adapter, or for adapters of the model.
func (s *Server) endSequences(id units.ModelID) {
	for _, q := range s.batch.sequences() {
		if q.target != id && q.base != id {
			continue
		}
		s.batch.remove(q)
		s.counts.AbortedByUnload++
		q.record.Outcome = Failed
		q.end(errUnloaded)
	}
}

// fetchWeights reads the weights from the weight store, if there is one.
func (s *Server) fetchWeights(ctx context.Context, m *Model) *apiError {
	if s.options.WeightStore == "" {
		return nil
	}
	address := "http://" + s.options.WeightStore + "/weights/" + url.PathEscape(string(m.ID))
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errInvalid(err.Error())
	}
	r, err := s.weightClient.Do(q)
	if err != nil {
		return errWeightStore(err.Error())
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errWeightStore(fmt.Sprintf("weight store responded with status %d", r.StatusCode))
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return errWeightStore(err.Error())
	}
	return nil
}

// LoadModel makes the model resident immediately, without an order.
func (s *Server) LoadModel(m Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.State = Resident
	s.memory.entries = append(s.memory.entries, &m)
	s.counts.MaxUsed = max(s.counts.MaxUsed, s.memory.used())
}

// Models returns the models and then the adapters in memory, in any state.
func (s *Server) Models() []Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.memory.list(false), s.memory.list(true)...)
}
