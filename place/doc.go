// Package place decides which models and adapters each upstream holds in accelerator
// memory (Planner), measures the demand for them (Meter), and accounts for the memory of
// one upstream (Ledger). It performs no I/O.
package place
