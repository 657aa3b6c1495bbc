package store

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
)

// GrantLease implements KV. If the response is lost, a lease that was created expires by
// itself.
func (c *Client) GrantLease(ctx context.Context, ttl clock.Span) (LeaseID, error) {
	request := leaseMessage{TTL: int64((ttl + clock.Second - 1) / clock.Second)}
	var response leaseMessage
	if err := c.call(ctx, "/v3/lease/grant", request, &response); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return response.ID, nil
}

// RenewLease implements KV.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) (clock.Span, error) {
	var response renewResponse
	if err := c.call(ctx, "/v3/lease/keepalive", leaseMessage{ID: id}, &response); err != nil {
		return 0, fmt.Errorf("renew lease: %w", err)
	}
	if response.Result.TTL <= 0 {
		return 0, fmt.Errorf("renew lease: %w", ErrNotFound)
	}
	return clock.Span(response.Result.TTL) * clock.Second, nil
}

// RevokeLease implements KV.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	var response struct{}
	if err := c.call(ctx, "/v3/lease/revoke", leaseMessage{ID: id}, &response); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}
