package config

import "net/netip"

// needsKeyFile is the error for an address beyond loopback if no keys authenticate the other side.
const needsKeyFile = "without key-file only a loopback address is allowed"

func isNotEmpty(text string) bool { return text != "" }

// isAddress reports whether a text is an IP address and port, which need no name resolution.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() > 0
}

// isLoopback reports whether an address is a loopback address, reachable only from the same machine.
func isLoopback(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Addr().IsLoopback()
}
