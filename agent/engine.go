package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

const (
	pollTimeout   = 2 * clock.Second
	orderTimeout  = 10 * clock.Minute
	maxLoadBytes  = 4 << 20
	stateResident = "resident"
)

// errRefused is the answer of an engine that did not carry out an order.
var errRefused = errors.New("engine refused the order")

// engineModel is a model or adapter in a load report.
type engineModel struct {
	ID      units.ModelID `json:"id"`
	Base    units.ModelID `json:"base"`
	Version int64         `json:"version"`
	Bytes   units.Bytes   `json:"bytes"`
	// State is empty for engines that list only what is resident.
	State string `json:"state"`
}

// engineLoad is the load report of an engine.
type engineLoad struct {
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Memory   struct {
		Capacity units.Bytes `json:"capacity"`
		Used     units.Bytes `json:"used"`
	} `json:"memory"`
	Models   []engineModel `json:"models"`
	Adapters []engineModel `json:"adapters"`
}

// report returns what the ledger needs.
func (l *engineLoad) report() place.Report {
	r := place.Report{Used: l.Memory.Used, Total: l.Memory.Capacity}
	for _, list := range [][]engineModel{l.Models, l.Adapters} {
		for _, m := range list {
			r.Targets = append(r.Targets, place.ReportedTarget{
				Target: m.ID, Base: m.Base, Bytes: m.Bytes, Version: versionText(m.Version),
				Pending: m.State != "" && m.State != stateResident,
			})
		}
	}
	return r
}

// versionText writes a version as orders have it; 0 stands for none.
func versionText(v int64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatInt(v, 10)
}

type engineOrder struct {
	Fence   units.Fence   `json:"fence"`
	Op      place.Op      `json:"op"`
	Model   units.ModelID `json:"model"`
	Adapter units.ModelID `json:"adapter,omitempty"`
	Version int64         `json:"version,omitempty"`
	Bytes   units.Bytes   `json:"bytes"`
}

func newEngineOrder(o place.Order) (engineOrder, error) {
	e := engineOrder{Fence: o.Fence, Op: o.Op, Model: o.Target, Bytes: o.Bytes}
	if o.Base != "" {
		e.Model, e.Adapter = o.Base, o.Target
	}
	if o.Version != "" {
		v, err := strconv.ParseInt(o.Version, 10, 64)
		if err != nil {
			return e, fmt.Errorf("read version of order: %w", err)
		}
		e.Version = v
	}
	return e, nil
}

// engine is the client of the engine's own interface.
type engine struct {
	address string
	http    *http.Client
}

func newEngine(address string) *engine {
	return &engine{address: address, http: &http.Client{Transport: newTransport(false)}}
}

func (e *engine) close() { e.http.CloseIdleConnections() }

// load reads the load report.
func (e *engine) load(ctx context.Context) (*engineLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+"/load", nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("read load: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read load: engine answered %d", resp.StatusCode)
	}
	l := &engineLoad{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(l); err != nil {
		return nil, fmt.Errorf("decode load: %w", err)
	}
	return l, nil
}

// order sends the order and waits until the engine has carried it out.
func (e *engine) order(ctx context.Context, o place.Order) (place.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	eo, err := newEngineOrder(o)
	if err != nil {
		return place.Failed, err
	}
	body, err := json.Marshal(eo)
	if err != nil {
		return place.Failed, fmt.Errorf("encode order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+"/orders", bytes.NewReader(body))
	if err != nil {
		return place.Failed, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := e.http.Do(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return place.Failed, fmt.Errorf("send order: %w", err)
	}
	if err != nil {
		return place.Uncertain, fmt.Errorf("send order: %w", err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, chunkBytes)) // only for the message
	return orderAnswer(o, resp.StatusCode, text)
}

// orderAnswer reads the status of an answer to an order.
func orderAnswer(o place.Order, status int, text []byte) (place.Result, error) {
	switch {
	case status == http.StatusOK:
		return place.Done, nil
	case o.Op == place.Unload && status == http.StatusNotFound:
		return place.Done, nil
	case status < http.StatusInternalServerError:
		return place.Failed, fmt.Errorf("%w: %d %s", errRefused, status, text)
	}
	// An engine that failed may hold a part of the target.
	return place.Uncertain, fmt.Errorf("%w: %d %s", errRefused, status, text)
}
