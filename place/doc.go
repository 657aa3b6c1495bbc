// Package place decides which models and adapters are resident on which upstream,
// and accounts for the accelerator memory that this takes. It performs no I/O.
package place
