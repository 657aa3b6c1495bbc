package config

import "net"

// Node is the section that each process has: what it is and where it is reached.
type Node struct {
	// ID names the VM or the upstream.
	ID string `json:"id"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// PeerAddress is the address for connections from our own processes, as IP:port.
	PeerAddress string `json:"peer"`
	// AdminAddress is the address of /healthz, /readyz and /debug/vars.
	AdminAddress string `json:"admin"`
}

// Check reports what is missing or malformed.
func (n *Node) Check(report func(path, problem string)) {
	CheckName("id", n.ID, report)
	CheckName("zone", n.Zone, report)
	CheckAddress("peer", n.PeerAddress, report)
	CheckAddress("admin", n.AdminAddress, report)
}

// Fleet is the section that is the same in all processes.
type Fleet struct {
	// StoreAddress is the address of the platform's key-value service.
	StoreAddress string `json:"store"`
	// VMListAddress is the address of the platform's VM list.
	VMListAddress string `json:"vms"`
	// Secret authenticates our processes to each other.
	Secret string `json:"secret"`
}

// minSecretBytes keeps the secret of the fleet from being guessed.
const minSecretBytes = 16

// Check reports what is missing or malformed.
func (f *Fleet) Check(report func(path, problem string)) {
	CheckAddress("store", f.StoreAddress, report)
	CheckAddress("vms", f.VMListAddress, report)
	if len(f.Secret) < minSecretBytes {
		report("secret", "must have at least 16 bytes")
	}
}

// CheckName reports an empty name.
func CheckName(path, name string, report func(path, problem string)) {
	if name == "" {
		report(path, "must not be empty")
	}
}

// CheckAddress reports an address that is not an IP address with a port.
func CheckAddress(path, address string, report func(path, problem string)) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		report(path, "must be an IP address and a port, such as 127.0.0.1:8080")
	}
}
