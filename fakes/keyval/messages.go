package keyval

import (
	"net/http"

	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

type header struct {
	Revision units.Revision `json:"revision,string"`
}

type keyValue struct {
	Key            []byte         `json:"key"`
	CreateRevision units.Revision `json:"create_revision,string,omitempty"`
	ModRevision    units.Revision `json:"mod_revision,string,omitempty"`
	Version        int64          `json:"version,string,omitempty"`
	Value          []byte         `json:"value,omitempty"`
	Lease          int64          `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte         `json:"key"`
	RangeEnd []byte         `json:"range_end"`
	Limit    int64          `json:"limit,string"`
	Revision units.Revision `json:"revision,string"`
	KeysOnly bool           `json:"keys_only"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type putResponse struct {
	Header header `json:"header"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

type compare struct {
	Key            []byte         `json:"key"`
	Result         string         `json:"result"`
	Target         string         `json:"target"`
	ModRevision    units.Revision `json:"mod_revision,string"`
	CreateRevision units.Revision `json:"create_revision,string"`
	Version        int64          `json:"version,string"`
	Value          []byte         `json:"value"`
}

type operation struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationResponse struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

type renewResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create struct {
		Key           []byte         `json:"key"`
		RangeEnd      []byte         `json:"range_end"`
		StartRevision units.Revision `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	// Type is empty for a put, etcd's default value.
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header          header         `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision units.Revision `json:"compact_revision,string,omitempty"`
	Events          []watchEvent   `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

type errorResponse struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// gRPC status codes, which the JSON API contains.
const (
	codeInvalid     = 3
	codeNotFound    = 5
	codeExhausted   = 8
	codeOutOfRange  = 11
	codeUnavailable = 14
)

// writeError responds with the HTTP status and an error message with the gRPC code.
func writeError(w http.ResponseWriter, status, code int, message string) {
	serve.WriteJSON(w, status, errorResponse{Error: message, Code: code, Message: message})
}
