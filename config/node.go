package config

import "net"

// Node is the section with the identity and the addresses of a process.
type Node struct {
	// ID identifies the VM or the upstream.
	ID string `json:"id"`
	// Zone is the availability zone that the process runs in.
	Zone string `json:"zone"`
	// PeerAddress is the address that accepts connections from other processes of the fleet, as
	// IP:port.
	PeerAddress string `json:"peer"`
	// AdminAddress is the address that serves /healthz, /readyz and /debug/vars, as IP:port.
	AdminAddress string `json:"admin"`
}

// Check reports missing names and malformed addresses.
func (n *Node) Check(report func(path, problem string)) {
	CheckName("id", n.ID, report)
	CheckName("zone", n.Zone, report)
	CheckAddress("peer", n.PeerAddress, report)
	CheckAddress("admin", n.AdminAddress, report)
}

// Fleet is the section that is equal in all processes of a fleet.
type Fleet struct {
	// StoreAddress is the address of the platform's key-value service, as IP:port.
	StoreAddress string `json:"store"`
	// VMListAddress is the address of the service that lists the platform's VMs, as IP:port.
	VMListAddress string `json:"vms"`
	// Secret is the shared secret with which processes of the fleet authenticate to each
	// other. It has at least 16 bytes.
	Secret string `json:"secret"`
}

// minSecretBytes is the minimum length of the secret, against guessing.
const minSecretBytes = 16

// Check reports malformed addresses and a secret that is too short.
func (f *Fleet) Check(report func(path, problem string)) {
	CheckAddress("store", f.StoreAddress, report)
	CheckAddress("vms", f.VMListAddress, report)
	if len(f.Secret) < minSecretBytes {
		report("secret", "must have at least 16 bytes")
	}
}

// CheckName reports a problem at the path if the name is empty.
func CheckName(path, name string, report func(path, problem string)) {
	if name == "" {
		report(path, "must not be empty")
	}
}

// CheckAddress reports a problem at the path if the address is not an IP address with a port.
func CheckAddress(path, address string, report func(path, problem string)) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		report(path, "must be an IP address and a port, such as 127.0.0.1:8080")
	}
}
