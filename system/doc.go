// Package system holds the tests that run gateways and agents as separate processes
// and bring about failures: kills, freezes, cut connections and outages of the
// platform. The stand-ins of the platform run in the test process.
package system
