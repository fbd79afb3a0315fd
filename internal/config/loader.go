package config

import (
	"path/filepath"
	"strings"

	"github.com/knadh/koanf/maps"
	"github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/env"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
)

// variablePrefix begins the names of the environment variables that are read.
const variablePrefix = "SUMAC_"

// variableOf is the environment variable of a key, as SUMAC_PROXY_ADDRESS of proxy.address.
func variableOf(key string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

// loader gathers the settings from their sources, in the order in which these win.
type loader struct {
	values *koanf.Koanf
	byName map[string]setting // by current and by former name
	// given holds, for each current key, the names under which any source gave it.
	given map[string]map[string]bool
}

// newLoader returns a loader that holds the defaults.
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

// nameOf is a setting's key, and its former name if it was given under that.
func (l *loader) nameOf(s setting) string {
	if l.given[s.key][s.alias] {
		return s.key + " (given as " + s.alias + ")"
	}
	return s.key
}
