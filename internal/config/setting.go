package config

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/knadh/koanf/v2"
)

// setting is an entry of the table generated from schema/config.yaml. alias is the former name,
// which is still accepted; minimum and maximum are inclusive bounds.
type setting struct {
	key, alias, kind, defaultValue, minimum, maximum, doc string
	set                                                   func(*Settings, any)
}

// parse returns the setting's value, with the type of its field in Settings.
func (s setting) parse(values *koanf.Koanf) (any, error) {
	text := strings.TrimSpace(values.String(s.key))
	switch s.kind {
	case "strings":
		list := values.Strings(s.key)
		if len(list) == 0 && text != "" {
			list = strings.Split(text, ",")
		}
		return list, nil
	case "address":
		if text != "" {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return nil, fmt.Errorf("%q is not an IP number with a port", text)
			}
		}
		return text, nil
	case "bool":
		return strconv.ParseBool(text)
	case "int":
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("%q is not a whole number", text)
		}
		low, _ := strconv.Atoi(s.minimum) // the schema's bounds are numbers
		high, _ := strconv.Atoi(s.maximum)
		if n < low || n > high {
			return nil, fmt.Errorf("%d is outside %s to %s", n, s.minimum, s.maximum)
		}
		return n, nil
	case "duration":
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, fmt.Errorf("%q is not a duration", text)
		}
		low, _ := time.ParseDuration(s.minimum)
		high, _ := time.ParseDuration(s.maximum)
		if d < low || d > high {
			return nil, fmt.Errorf("%s is outside %s to %s", d, s.minimum, s.maximum)
		}
		return d, nil
	}
	return text, nil
}
