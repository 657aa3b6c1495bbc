package engine

import (
	"net/http"

	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

// apiError is an error response in the format of the OpenAI API.
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

func newError(status int, errorType, code, message string) *apiError {
	return &apiError{status: status, body: errorBody{Error: errorDetail{Message: message, Type: errorType, Code: code}}}
}

var (
	errOverloaded     = newError(http.StatusServiceUnavailable, typeServer, "overloaded", "engine refuses requests after a collapse")
	errStaleFence     = newError(http.StatusConflict, typeRequest, "fence_stale", "fencing number is stale")
	errRestarted      = newError(http.StatusServiceUnavailable, typeServer, "restarted", "engine restarted during the order")
	errAdaptersLoaded = newError(http.StatusConflict, typeRequest, "adapters_loaded", "adapters of the model are loaded")
	errInjected       = newError(http.StatusInternalServerError, typeServer, "injected", "injected fault")
)

func errNotResident(id units.ModelID) *apiError {
	return newError(http.StatusNotFound, typeRequest, "model_not_found", "model "+string(id)+" is not resident")
}

func errInvalid(message string) *apiError {
	return newError(http.StatusBadRequest, typeRequest, "invalid_request", message)
}

func errWeightStore(message string) *apiError {
	return newError(http.StatusServiceUnavailable, typeServer, "weights_busy", message)
}

func errEngine(err error) *apiError {
	return newError(http.StatusInternalServerError, typeServer, "engine_error", err.Error())
}

func (e *apiError) Error() string { return e.body.Error.Message }

func (e *apiError) write(w http.ResponseWriter) { serve.WriteJSON(w, e.status, e.body) }
