// Package once gives calls with an Idempotency-Key at-most-once execution. A record in the
// platform's key-value service holds the response of a call, or the attempt that may have
// run and the agent that can report its outcome.
package once
