// Package fleet defines what a gateway serves on a platform that keeps the configuration and the
// list of upstreams itself: routes, services, customers and replicas. Its values are immutable
// once published and shared by all requests.
package fleet
