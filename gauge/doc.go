// Package gauge estimates the speed of upstreams: how fast an engine reads prompts and writes events, how long a plain service works,
// each depending on the requests that run there, and how much slower one upstream is than its service. It learns from times that callers'
// requests took and from the load that upstreams state. It performs no I/O and is not safe for concurrent use; the caller passes
// the time.
package gauge
