package opsrv

import (
	"context"
	"net/http"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/opsapi"
)

var (
	errUnknownCredential = errors.New("unknown credential")
	errForbidden         = errors.New("the credential does not permit access to this team")
	errStoreUnavailable  = errors.New("the platform's store is unavailable; nothing was written")
	errUndecodable       = errors.New("the stored configuration can't be decoded; replace it as a whole")
	errInvalidTeam       = errors.New("invalid team ID")
)

// NewError implements opsapi.Handler: it converts an error of a handler into a response.
func (s *server) NewError(_ context.Context, err error) *opsapi.ErrorStatusCode {
	return errorResponse(err)
}

// errorResponse returns the response for an error. Errors without a status of their own are logged
// and become status 500.
func errorResponse(err error) *opsapi.ErrorStatusCode {
	status, code := http.StatusInternalServerError, opsapi.ErrorCodeInternal
	message := err.Error()
	var security *ogenerrors.SecurityError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &security):
		status, code, message = http.StatusUnauthorized, opsapi.ErrorCodeInvalidCredential, errUnknownCredential.Error()
	case errors.Is(err, errForbidden):
		status, code = http.StatusForbidden, opsapi.ErrorCodeForbidden
	case errors.Is(err, errStoreUnavailable):
		status, code = http.StatusServiceUnavailable, opsapi.ErrorCodeStoreUnavailable
	case errors.Is(err, errInvalidTeam):
		status, code = http.StatusNotFound, opsapi.ErrorCodeNotFound
	case errors.As(err, &tooLarge):
		status, code = http.StatusRequestEntityTooLarge, opsapi.ErrorCodeInvalidRequest
	case ogenerrors.ErrorCode(err) < http.StatusInternalServerError:
		status, code = ogenerrors.ErrorCode(err), opsapi.ErrorCodeInvalidRequest
	default:
		klog.Errorf("opsrv: internal error: %v", err)
	}
	return &opsapi.ErrorStatusCode{StatusCode: status, Response: opsapi.Error{Code: code, Message: message}}
}

// writeError writes the response to a request that failed before its handler, such as in
// authentication or decoding.
func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	a := errorResponse(err)
	e := &jx.Encoder{}
	a.Response.Encode(e)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(a.StatusCode)
	if _, err := w.Write(e.Bytes()); err != nil {
		klog.V(2).Infof("opsrv: can't write the response to the caller: %v", err)
	}
}
