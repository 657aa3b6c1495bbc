package store

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
)

// GrantLease implements KV. After a lost answer the lease, if any, lapses by itself.
func (c *Client) GrantLease(ctx context.Context, ttl clock.Span) (LeaseID, error) {
	q := leaseMessage{TTL: int64((ttl + clock.Second - 1) / clock.Second)}
	var out leaseMessage
	if err := c.call(ctx, "/v3/lease/grant", q, &out); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return out.ID, nil
}

// RenewLease implements KV.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) (clock.Span, error) {
	var out renewResponse
	if err := c.call(ctx, "/v3/lease/keepalive", leaseMessage{ID: id}, &out); err != nil {
		return 0, fmt.Errorf("renew lease: %w", err)
	}
	if out.Result.TTL <= 0 {
		return 0, fmt.Errorf("renew lease: %w", ErrNotFound)
	}
	return clock.Span(out.Result.TTL) * clock.Second, nil
}

// RevokeLease implements KV.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	var out struct{}
	if err := c.call(ctx, "/v3/lease/revoke", leaseMessage{ID: id}, &out); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}
