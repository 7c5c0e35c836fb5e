package config

import "net/netip"

// needsKeyFile is what is allowed of an address where no keys authenticate the other side.
const needsKeyFile = "without key-file only a loopback address is allowed"

func isNotEmpty(text string) bool { return text != "" }

// isAddress says whether a text is an IP address and port, which need no name resolution.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() > 0
}

// isLoopback says whether an address can be reached only from the same machine.
func isLoopback(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Addr().IsLoopback()
}
