// Package system tests gateways and agents as separate processes and injects failures: killed and
// suspended processes, crashed upstreams and store outages. The fakes of the platform and of the
// upstreams run in the test process.
package system
