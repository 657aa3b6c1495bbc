package gate

import (
	"context"

	"github.com/magnolialever/magnolialever/llmapi"
	"github.com/magnolialever/magnolialever/units"
)

// keys checks the keys of callers for the generated server.
type keys struct {
	server *Server
}

var _ llmapi.SecurityHandler = (*keys)(nil)

// HandleApiKey implements llmapi.SecurityHandler.
//
//nolint:revive // the name is generated
func (k *keys) HandleApiKey(ctx context.Context, _ llmapi.OperationName, t llmapi.ApiKey) (context.Context, error) {
	return ctx, k.server.authenticate(exchangeOf(ctx), t.APIKey)
}

// HandleBearer implements llmapi.SecurityHandler.
func (k *keys) HandleBearer(ctx context.Context, _ llmapi.OperationName, t llmapi.Bearer) (context.Context, error) {
	return ctx, k.server.authenticate(exchangeOf(ctx), t.Token)
}

// authenticate looks the key up by its hash, so that the time of the look-up tells
// nothing about other keys.
func (s *Server) authenticate(x *exchange, key string) error {
	h := HashKey(key)
	c, ok := s.snapshot().Caller(h)
	if !ok {
		return problem(units.InvalidKey, "the key is missing or not valid")
	}
	x.caller, x.key, x.token = c, h, key
	return nil
}
