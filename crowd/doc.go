// Package crowd tests gateways as separate processes under crowds of callers that keep to no limits.
package crowd
