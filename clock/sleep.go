package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns false if the context was done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
