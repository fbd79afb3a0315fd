// Package props loads a node's settings with koanf from defaults, a file,
// variables and flags, in that order, and checks them: every fault is named by
// its key, unknown keys included, and nothing starts on faulty settings.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/knadh/koanf/maps"
	"github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/env"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

type setting struct {
	key, kind, fallback, low, high, doc string
	set                                 func(*Settings, any)
}

// Load reads the settings and checks them.
func Load(path string, flags map[string]string) (*Settings, error) {
	k := koanf.New(".")
	fallbacks := map[string]any{}
	known := map[string]bool{}
	for _, e := range table {
		known[e.key] = true
		if e.fallback != "" {
			fallbacks[e.key] = e.fallback
		}
	}
	if err := k.Load(confmap.Provider(fallbacks, "."), nil); err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "%v", err)
	}
	if path != "" {
		var parser koanf.Parser = yaml.Parser()
		if filepath.Ext(path) == ".json" {
			parser = json.Parser()
		}
		// Keys may be nested or dotted, and both in one file; they are brought
		// to one form first, for else which one is found is a matter of luck.
		raw := koanf.New("\x00")
		if err := raw.Load(file.Provider(path), parser); err != nil {
			return nil, errcode.New(errcode.InvalidSettings, "%s: %v", path, err)
		}
		flat, _ := maps.Flatten(raw.Raw(), nil, ".")
		if err := k.Load(confmap.Provider(flat, "."), nil); err != nil {
			return nil, errcode.New(errcode.InvalidSettings, "%s: %v", path, err)
		}
	}
	rename := func(name string) string {
		key := strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, "SUMAC_")), "_", ".")
		if !known[key] {
			return ""
		}
		return key
	}
	if err := k.Load(env.Provider("SUMAC_", ".", rename), nil); err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "%v", err)
	}
	given := map[string]any{}
	for key, value := range flags {
		given[key] = value
	}
	if err := k.Load(confmap.Provider(given, "."), nil); err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "%v", err)
	}
	p := &Settings{}
	var faults []string
	for _, key := range k.Keys() {
		if !known[key] {
			faults = append(faults, key+": no such setting")
		}
	}
	for _, e := range table {
		value, err := e.parse(k)
		if err != nil {
			faults = append(faults, e.key+": "+err.Error())
			continue
		}
		e.set(p, value)
	}
	faults = append(faults, p.check()...)
	if len(faults) > 0 {
		sort.Strings(faults)
		return nil, errcode.NewPaths(errcode.InvalidSettings, faults)
	}
	return p, nil
}

func (e setting) parse(k *koanf.Koanf) (any, error) {
	text := strings.TrimSpace(k.String(e.key))
	switch e.kind {
	case "strings":
		list := k.Strings(e.key)
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
		low, _ := strconv.Atoi(e.low)
		high, _ := strconv.Atoi(e.high)
		if n < low || n > high {
			return nil, fmt.Errorf("%d is outside %s to %s", n, e.low, e.high)
		}
		return n, nil
	case "duration":
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, fmt.Errorf("%q is not a duration", text)
		}
		low, _ := time.ParseDuration(e.low)
		high, _ := time.ParseDuration(e.high)
		if d < low || d > high {
			return nil, fmt.Errorf("%s is outside %s to %s", d, e.low, e.high)
		}
		return d, nil
	}
	return text, nil
}

func (p *Settings) check() (faults []string) {
	if p.Name == "" {
		faults = append(faults, "name: is missing")
	}
	if strings.ContainsAny(p.Name, " /\t\n") {
		faults = append(faults, "name: holds a space or a slash")
	}
	if p.PeerAddress == "" {
		faults = append(faults, "wire.address: is missing")
	}
	if p.APIAddress == "" {
		faults = append(faults, "api.address: is missing")
	}
	if p.ProxyAddress == "" && p.DataFolder == "" {
		faults = append(faults, "gate.address: is missing, and so is data.folder: the node would do nothing")
	}
	for i, seed := range p.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			faults = append(faults, fmt.Sprintf("seeds.%d: %q is not an IP number with a port", i, seed))
		}
	}
	switch p.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		faults = append(faults, fmt.Sprintf("log.level: %q is none of debug, info, warn, error", p.LogLevel))
	}
	if p.DataFolder != "" {
		if info, err := os.Stat(p.DataFolder); err == nil && !info.IsDir() {
			faults = append(faults, "data.folder: is not a folder")
		}
	}
	return faults
}
