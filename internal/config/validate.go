package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// validate returns the faults that parsing single settings does not detect: missing, malformed
// and unusable values.
func (s *Settings) validate() (faults []string) {
	if s.Name == "" {
		faults = append(faults, "name: is missing")
	}
	if strings.ContainsAny(s.Name, " /\t\n") {
		faults = append(faults, "name: holds a space or a slash")
	}
	if s.PeerAddress == "" {
		faults = append(faults, "peer.address: is missing")
	}
	if s.APIAddress == "" {
		faults = append(faults, "api.address: is missing")
	}
	if s.ProxyAddress == "" && s.DataFolder == "" {
		faults = append(faults, "proxy.address: is missing, and so is data.folder: the node would do nothing")
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			faults = append(faults, fmt.Sprintf("seeds.%d: %q is not an IP number with a port", i, seed))
		}
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		faults = append(faults, fmt.Sprintf("log.level: %q is none of debug, info, warn, error", s.LogLevel))
	}
	if s.DataFolder != "" {
		if info, err := os.Stat(s.DataFolder); err == nil && !info.IsDir() {
			faults = append(faults, "data.folder: is not a folder")
		}
	}
	return faults
}
