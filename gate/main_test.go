package gate_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive a gateway.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// Idle connections of the test's own HTTP client.
		goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"),
		goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"),
		goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"),
	)
}
