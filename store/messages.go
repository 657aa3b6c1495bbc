package store

import "github.com/magnolialever/magnolialever/units"

// Messages of the etcd v3 API in its JSON mapping: bytes are base64, 64-bit integers are
// strings, and fields with default values are omitted.

type header struct {
	Revision units.Revision `json:"revision,string"`
}

type keyValue struct {
	Key            []byte         `json:"key"`
	Value          []byte         `json:"value"`
	CreateRevision units.Revision `json:"create_revision,string"`
	ModRevision    units.Revision `json:"mod_revision,string"`
	Lease          LeaseID        `json:"lease,string"`
}

type rangeRequest struct {
	Key      []byte         `json:"key"`
	RangeEnd []byte         `json:"range_end,omitempty"`
	Limit    int64          `json:"limit,string,omitempty"`
	Revision units.Revision `json:"revision,string,omitempty"`
	KeysOnly bool           `json:"keys_only,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
	More   bool       `json:"more"`
}

type putRequest struct {
	Key   []byte  `json:"key"`
	Value []byte  `json:"value"`
	Lease LeaseID `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type deleteResponse struct {
	Deleted int64 `json:"deleted,string"`
}

type compare struct {
	Key         []byte         `json:"key"`
	Result      string         `json:"result"`
	Target      string         `json:"target"`
	ModRevision units.Revision `json:"mod_revision,string"`
}

type operation struct {
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range"`
}

type txnResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses"`
}

type leaseMessage struct {
	ID  LeaseID `json:"ID,string"`
	TTL int64   `json:"TTL,string,omitempty"`
}

type renewResponse struct {
	Result leaseMessage `json:"result"`
}

type createWatch struct {
	Key           []byte         `json:"key"`
	RangeEnd      []byte         `json:"range_end"`
	StartRevision units.Revision `json:"start_revision,string,omitempty"`
}

type watchRequest struct {
	Create createWatch `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header          header         `json:"header"`
	Canceled        bool           `json:"canceled"`
	CompactRevision units.Revision `json:"compact_revision,string"`
	Events          []watchEvent   `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

const (
	compareEqual = "EQUAL"
	compareMod   = "MOD"
	eventDelete  = "DELETE"
)

// rangeEnd returns the first key after all keys with the prefix, or the key 0, which stands for
// no upper bound.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// allKeysStart stands for the empty prefix, because an empty key is not allowed.
var allKeysStart = []byte{0}

func rangeStart(prefix string) []byte {
	if prefix == "" {
		return allKeysStart
	}
	return []byte(prefix)
}
