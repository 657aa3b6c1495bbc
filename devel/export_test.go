package devel

// Secret is the secret of the fleet, with which tests connect to its agents.
const Secret = fleetSecret
