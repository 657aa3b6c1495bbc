// Package soak runs gateways on the platform as processes of their own, beside stand-ins of the platform's
// store and of upstreams, and gateways with agents beside theirs. It injects faults from outside while callers
// send requests. Its tests check what callers and upstreams see. go test -run TestSoak ./soak -soak.runs 50 plays 50
// seeds of each.
package soak
