package devel

// Secret lets tests dial the processes of a fleet.
const Secret = fleetSecret
