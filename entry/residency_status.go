package entry

import (
	"expvar"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
)

// placement is what the leader's last planning round found; at other gateways it stays as it was.
var placement = expvar.NewMap("placement")

// shortLogInterval is the least time between two log lines on a model that is short.
const shortLogInterval = 2 * clock.Second

// statusLog publishes what planning rounds find.
type statusLog struct {
	// loggedAt is when the last line on a model was written.
	loggedAt map[assign.Target]clock.Time
}

// record publishes the result of a round.
func (l *statusLog) record(now clock.Time, s assign.Status) {
	wanted := 0
	for i := range s.Short {
		m := &s.Short[i]
		wanted += m.WantedCopies()
		t := assign.Target{Service: m.Service, Model: m.Model}
		if at, ok := l.loggedAt[t]; ok && now.Sub(at) < shortLogInterval {
			continue
		}
		l.loggedAt[t] = now
		stats.Event("models_short")
		klog.InfoS("entry: model is short", "model", m.Model, "service", m.Service, "work", int(m.WorkRate), "refused", int(m.Refused),
			"need", int(m.Need), "copies", m.Copies, "pending", m.Pending)
	}
	for name, n := range map[string]int{
		"models_short": len(s.Short), "copies_wanted": wanted, "copies_pending": s.PendingCopies,
		"store_loads": s.StoreLoads, "store_loads_allowed": s.AllowedStoreLoads,
	} {
		v := new(expvar.Int)
		v.Set(int64(n))
		placement.Set(name, v)
	}
}
