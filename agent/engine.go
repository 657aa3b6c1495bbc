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
	"github.com/magnolialever/magnolialever/rawjson"
	"github.com/magnolialever/magnolialever/units"
)

const (
	pollTimeout   = 2 * clock.Second
	orderTimeout  = 10 * clock.Minute
	maxLoadBytes  = 4 << 20
	stateResident = "resident"
	// maxReportedBytes, 32 TiB, is above the memory of any engine. The sum of as many targets as fit a report stays
	// within an int64; beyond it, used memory would count as free.
	maxReportedBytes = units.Bytes(1) << 45
)

// errOrderStatus means that the engine responded to an order with an error status.
var errOrderStatus = errors.New("engine returned an error status for the order")

// engineModel is a model or adapter in an engine's load report.
type engineModel struct {
	ID units.ModelID `json:"id"`
	// Base is the base model of an adapter; empty for a model.
	Base    units.ModelID `json:"base"`
	Version int64         `json:"version"`
	Bytes   units.Bytes   `json:"bytes"`
	// State is empty for engines that list only resident models.
	State string `json:"state"`
}

// engineLoad is an engine's load report. Instance identifies one run of the engine.
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

// ledgerReport converts the memory state for the ledger.
func (l *engineLoad) ledgerReport() place.Report {
	r := place.Report{Used: boundBytes(l.Memory.Used), Total: boundBytes(l.Memory.Capacity)}
	for _, list := range [][]engineModel{l.Models, l.Adapters} {
		for _, m := range list {
			r.Targets = append(r.Targets, place.ReportedTarget{
				Target: m.ID, Base: m.Base, Bytes: boundBytes(m.Bytes), Version: formatVersion(m.Version),
				Pending: m.State != "" && m.State != stateResident,
			})
		}
	}
	return r
}

// boundBytes returns a size in an engine's report, or the nearest one from 0 to maxReportedBytes.
func boundBytes(n units.Bytes) units.Bytes { return min(max(n, 0), maxReportedBytes) }

// formatVersion formats a version as in orders: decimal, or empty for 0 (no version).
func formatVersion(v int64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatInt(v, 10)
}

// engineOrder is the JSON body of a load or unload order to the engine.
type engineOrder struct {
	Fence   units.Fence   `json:"fence"`
	Op      place.Op      `json:"op"`
	Model   units.ModelID `json:"model"`
	Adapter units.ModelID `json:"adapter,omitempty"`
	Version int64         `json:"version,omitempty"`
	Bytes   units.Bytes   `json:"bytes"`
}

// newEngineOrder converts an order. It fails when the version is not a decimal number.
func newEngineOrder(o place.Order) (engineOrder, error) {
	request := engineOrder{Fence: o.Fence, Op: o.Op, Model: o.Target, Bytes: o.Bytes}
	if o.Base != "" {
		request.Model, request.Adapter = o.Base, o.Target
	}
	if o.Version != "" {
		v, err := strconv.ParseInt(o.Version, 10, 64)
		if err != nil {
			return request, fmt.Errorf("read version of order: %w", err)
		}
		request.Version = v
	}
	return request, nil
}

// engineClient calls the load and order endpoints of the engine.
type engineClient struct {
	address string
	http    *http.Client
}

func newEngineClient(address string) *engineClient {
	return &engineClient{address: address, http: &http.Client{Transport: newTransport()}}
}

// readLoad reads the engine's load report.
func (e *engineClient) readLoad(ctx context.Context) (*engineLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+"/load", nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read load: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read load: engine returned status %d", resp.StatusCode)
	}
	l := &engineLoad{}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	if err != nil {
		return nil, fmt.Errorf("read load: %w", err)
	}
	if err := rawjson.Unmarshal(data, l); err != nil {
		return nil, fmt.Errorf("decode load: %w", err)
	}
	return l, nil
}

// sendOrder sends the order and waits until the engine has executed it. The result is
// Uncertain when the engine may have executed the order in whole or in part.
func (e *engineClient) sendOrder(ctx context.Context, o place.Order) (place.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	request, err := newEngineOrder(o)
	if err != nil {
		return place.Failed, err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return place.Failed, fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+"/orders", bytes.NewReader(body))
	if err != nil {
		return place.Failed, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.http.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return place.Failed, fmt.Errorf("send order: %w", err)
	}
	if err != nil {
		return place.Uncertain, fmt.Errorf("send order: %w", err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, chunkBytes)) // used only in the error message
	return resultFromStatus(o, resp.StatusCode, text)
}

// resultFromStatus maps the HTTP status of an order's response to a result. Unloading a
// target that the engine doesn't have (404) is done.
func resultFromStatus(o place.Order, status int, text []byte) (place.Result, error) {
	switch {
	case status == http.StatusOK:
		return place.Done, nil
	case o.Op == place.Unload && status == http.StatusNotFound:
		return place.Done, nil
	case status < http.StatusInternalServerError:
		return place.Failed, fmt.Errorf("%w: %d %s", errOrderStatus, status, text)
	}
	// After a server error, a part of the target may be in memory.
	return place.Uncertain, fmt.Errorf("%w: %d %s", errOrderStatus, status, text)
}
