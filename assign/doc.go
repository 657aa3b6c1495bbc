// Package assign decides which models and adapters are loaded on which upstream, and tracks
// the load and unload orders. It performs no I/O and is not safe for concurrent use.
//
// It handles requests for models and adapters that no upstream has loaded, demand that
// shifts between models within seconds, and upstreams that fail, drain or restart without
// models.
package assign
