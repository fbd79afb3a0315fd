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

// setting is one line of the table that is made from schema/config.yaml. The alias is the
// key's former name, under which it is still read.
type setting struct {
	key, alias, kind, fallback, low, high, doc string
	set                                        func(*Settings, any)
}

// Renaming is a setting that was given under its former name.
type Renaming struct{ Former, Name string }

func (r Renaming) String() string { return r.Former + " is now " + r.Name }

// variablePrefix begins the names of the environment variables that are read.
const variablePrefix = "SUMAC_"

// variableOf is the environment variable of a key, as SUMAC_PROXY_ADDRESS of proxy.address.
func variableOf(key string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

// FormerName is the name that a setting had before, or the key itself. A build that knows
// only the former names reads it.
func FormerName(key string) string {
	for _, s := range table {
		if s.key == key && s.alias != "" {
			return s.alias
		}
	}
	return key
}

// loader gathers the settings from their sources, in the order in which these win.
type loader struct {
	values *koanf.Koanf
	byName map[string]setting // by current and by former name
	// given holds, for each current key, the names under which any source gave it.
	given map[string]map[string]bool
}

func newLoader() (*loader, error) {
	l := &loader{values: koanf.New("."), byName: map[string]setting{}, given: map[string]map[string]bool{}}
	fallbacks := map[string]any{}
	for _, s := range table {
		l.byName[s.key] = s
		if s.alias != "" {
			l.byName[s.alias] = s
		}
		if s.fallback != "" {
			fallbacks[s.key] = s.fallback
		}
	}
	return l, l.values.Load(confmap.Provider(fallbacks, "."), nil)
}

// add lays the values of one source, by dotted name, over those before. A former name is
// turned into the current one; a name that is not known stays, to be refused.
func (l *loader) add(values map[string]any) error {
	byKey := make(map[string]any, len(values))
	for name, value := range values {
		s, known := l.byName[name]
		if !known {
			if section, isMap := value.(map[string]any); isMap && len(section) == 0 && l.hasSection(name) {
				continue
			}
			byKey[name] = value
			continue
		}
		if l.given[s.key] == nil {
			l.given[s.key] = map[string]bool{}
		}
		l.given[s.key][name] = true
		byKey[s.key] = value
	}
	return l.values.Load(confmap.Provider(byKey, "."), nil)
}

// hasSection tells whether settings stand under a name; an empty section gives none.
func (l *loader) hasSection(name string) bool {
	for known := range l.byName {
		if strings.HasPrefix(known, name+".") {
			return true
		}
	}
	return false
}

// addFile adds a file of settings, JSON by its ending or else YAML.
func (l *loader) addFile(path string) error {
	var parser koanf.Parser = yaml.Parser()
	if filepath.Ext(path) == ".json" {
		parser = json.Parser()
	}
	// Keys may be nested or dotted, and both in one file; they are brought
	// to one form first, for else which one is found is a matter of luck.
	raw := koanf.New("\x00")
	if err := raw.Load(file.Provider(path), parser); err != nil {
		return err
	}
	flat, _ := maps.Flatten(raw.Raw(), nil, ".")
	return l.add(flat)
}

// addEnvironment adds the variables that name a setting; others are left alone.
func (l *loader) addEnvironment() error {
	byVariable := map[string]string{}
	for name := range l.byName {
		byVariable[variableOf(name)] = name
	}
	raw := koanf.New("\x00")
	if err := raw.Load(env.Provider(variablePrefix, "\x00", func(variable string) string { return byVariable[strings.ToUpper(variable)] }), nil); err != nil {
		return err
	}
	return l.add(raw.Raw())
}

// renamings are the settings given under their former names, and the faults of those
// given under both.
func (l *loader) renamings() (list []Renaming, faults []string) {
	for _, s := range table {
		names := l.given[s.key]
		if s.alias == "" || !names[s.alias] {
			continue
		}
		if names[s.key] {
			faults = append(faults, fmt.Sprintf("%s: is given under its former name %s too; give it once", s.key, s.alias))
			continue
		}
		list = append(list, Renaming{Former: s.alias, Name: s.key})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, faults
}

// Load reads the settings of one node from their defaults, a file (none if the path is
// empty), the environment and flags, each winning over those before, and checks them. An
// error has the code errcode.InvalidSettings and a path for each fault.
func Load(path string, flags map[string]string) (*Settings, error) {
	l, err := newLoader()
	if err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "%v", err)
	}
	if path != "" {
		if err := l.addFile(path); err != nil {
			return nil, errcode.New(errcode.InvalidSettings, "%s: %v", path, err)
		}
	}
	if err := l.addEnvironment(); err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "%v", err)
	}
	given := make(map[string]any, len(flags))
	for key, value := range flags {
		given[key] = value
	}
	if err := l.add(given); err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "%v", err)
	}
	return l.settings()
}

// settings parses and checks what was gathered.
func (l *loader) settings() (*Settings, error) {
	p := &Settings{}
	var faults []string
	p.Renamed, faults = l.renamings()
	for _, key := range l.values.Keys() {
		if s, known := l.byName[key]; !known || s.key != key {
			faults = append(faults, key+": no such setting")
		}
	}
	for _, s := range table {
		value, err := s.parse(l.values)
		if err != nil {
			faults = append(faults, l.nameOf(s)+": "+err.Error())
			continue
		}
		s.set(p, value)
	}
	faults = append(faults, p.check()...)
	if len(faults) > 0 {
		sort.Strings(faults)
		return nil, errcode.NewPaths(errcode.InvalidSettings, faults)
	}
	return p, nil
}

// nameOf is a setting's key, and its former name if it was given under that.
func (l *loader) nameOf(s setting) string {
	if l.given[s.key][s.alias] {
		return s.key + " (given as " + s.alias + ")"
	}
	return s.key
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
		faults = append(faults, "peer.address: is missing")
	}
	if p.APIAddress == "" {
		faults = append(faults, "api.address: is missing")
	}
	if p.ProxyAddress == "" && p.DataFolder == "" {
		faults = append(faults, "proxy.address: is missing, and so is data.folder: the node would do nothing")
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
