// Package work keeps deferred work in the platform's key-value service and runs it.
// Each gateway claims entries by compare-and-swap and renews one claim for all that
// it holds; the entries of a gateway whose claim stays unchanged are claimed by
// others.
package work
