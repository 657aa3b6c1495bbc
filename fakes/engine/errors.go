package engine

import (
	"net/http"

	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

// apiError is an error in the shape of OpenAI's interface.
type apiError struct {
	status int
	body   errorBody
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

const (
	typeRequest = "invalid_request_error"
	typeServer  = "server_error"
)

func newError(status int, kind, code, message string) *apiError {
	return &apiError{status: status, body: errorBody{Error: errorDetail{Message: message, Type: kind, Code: code}}}
}

var (
	errOverloaded = newError(http.StatusServiceUnavailable, typeServer, "overloaded", "engine collapsed under load")
	errFence      = newError(http.StatusConflict, typeRequest, "fence_stale", "fencing number is too old")
	errRestarted  = newError(http.StatusServiceUnavailable, typeServer, "restarted", "engine restarted during the order")
	errAdapters   = newError(http.StatusConflict, typeRequest, "adapters_loaded", "adapters of the model are loaded")
	errInjected   = newError(http.StatusInternalServerError, typeServer, "injected", "fault was switched on")
)

func errNotResident(id units.ModelID) *apiError {
	return newError(http.StatusNotFound, typeRequest, "model_not_found", "model "+string(id)+" is not resident")
}

func errInvalid(message string) *apiError {
	return newError(http.StatusBadRequest, typeRequest, "invalid_request", message)
}

func errWeights(message string) *apiError {
	return newError(http.StatusServiceUnavailable, typeServer, "weights_busy", message)
}

func errRun(err error) *apiError {
	return newError(http.StatusInternalServerError, typeServer, "engine_error", err.Error())
}

func (e *apiError) Error() string { return e.body.Error.Message }

func (e *apiError) write(w http.ResponseWriter) { serve.WriteJSON(w, e.status, e.body) }
