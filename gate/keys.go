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
	return ctx, k.check(ctx, t.APIKey)
}

// HandleBearer implements llmapi.SecurityHandler.
func (k *keys) HandleBearer(ctx context.Context, _ llmapi.OperationName, t llmapi.Bearer) (context.Context, error) {
	return ctx, k.check(ctx, t.Token)
}

// check looks the key up by its hash, so that the time of the look-up tells
// nothing about other keys.
func (k *keys) check(ctx context.Context, key string) error {
	c, ok := (*k.server.directory.Load()).Caller(HashKey(key))
	if !ok {
		return problem(units.InvalidKey, "the key is not valid")
	}
	exchangeOf(ctx).caller = c
	return nil
}
