// Package once keeps calls that must not be repeated from running twice. Records in
// the platform's key-value service name the attempt that may have run and the agent
// that knows its outcome.
package once
