package gate

import (
	"context"

	"github.com/magnolialever/magnolialever/llmapi"
	"github.com/magnolialever/magnolialever/units"
)

// keyHandler authenticates callers of the generated API server.
type keyHandler struct {
	server *Server
}

var _ llmapi.SecurityHandler = (*keyHandler)(nil)

// HandleApiKey implements llmapi.SecurityHandler.
//
//nolint:revive // the name is generated
func (k *keyHandler) HandleApiKey(ctx context.Context, _ llmapi.OperationName, t llmapi.ApiKey) (context.Context, error) {
	return ctx, k.server.authenticate(exchangeOf(ctx), t.APIKey)
}

// HandleBearer implements llmapi.SecurityHandler.
func (k *keyHandler) HandleBearer(ctx context.Context, _ llmapi.OperationName, t llmapi.Bearer) (context.Context, error) {
	return ctx, k.server.authenticate(exchangeOf(ctx), t.Token)
}

// authenticate looks the key up by its hash, so that the time of the lookup reveals nothing about
// other keys. On success it sets the caller of the exchange.
func (s *Server) authenticate(x *exchange, key string) error {
	h := HashKey(key)
	c, ok := s.currentDirectory().Caller(h)
	if !ok {
		return newProblem(units.InvalidKey, "the API key is missing or invalid")
	}
	x.caller, x.keyHash, x.apiKey = c, h, key
	return nil
}
