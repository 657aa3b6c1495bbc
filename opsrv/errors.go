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
	errCredential = errors.New("unknown credential")
	errForbidden  = errors.New("the credential does not reach this team")
	errStore      = errors.New("the platform service does not answer; nothing was written")
	errUnreadable = errors.New("the value in the store can't be read; replace it as a whole")
	errTeam       = errors.New("not a name of a team")
)

// NewError turns an error of a handler into an answer.
func (s *server) NewError(_ context.Context, err error) *opsapi.ErrorStatusCode {
	return answerOf(err)
}

func answerOf(err error) *opsapi.ErrorStatusCode {
	status, code := http.StatusInternalServerError, opsapi.ErrorCodeInternal
	message := err.Error()
	var security *ogenerrors.SecurityError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &security):
		status, code, message = http.StatusUnauthorized, opsapi.ErrorCodeInvalidCredential, errCredential.Error()
	case errors.Is(err, errForbidden):
		status, code = http.StatusForbidden, opsapi.ErrorCodeForbidden
	case errors.Is(err, errStore):
		status, code = http.StatusServiceUnavailable, opsapi.ErrorCodeStoreUnavailable
	case errors.Is(err, errTeam):
		status, code = http.StatusNotFound, opsapi.ErrorCodeNotFound
	case errors.As(err, &tooLarge):
		status, code = http.StatusRequestEntityTooLarge, opsapi.ErrorCodeInvalidRequest
	case ogenerrors.ErrorCode(err) < http.StatusInternalServerError:
		status, code = ogenerrors.ErrorCode(err), opsapi.ErrorCodeInvalidRequest
	default:
		klog.Errorf("opsrv: %v", err)
	}
	return &opsapi.ErrorStatusCode{StatusCode: status, Response: opsapi.Error{Code: code, Message: message}}
}

// writeError answers a request that can't be decoded.
func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	a := answerOf(err)
	e := &jx.Encoder{}
	a.Response.Encode(e)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(a.StatusCode)
	if _, err := w.Write(e.Bytes()); err != nil {
		klog.V(2).Infof("opsrv: caller left: %v", err)
	}
}
