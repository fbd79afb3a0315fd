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

// variablePrefix is the prefix of the environment variables that hold settings.
const variablePrefix = "SUMAC_"

// variableName returns the environment variable of a key, such as SUMAC_PROXY_ADDRESS for
// proxy.address.
func variableName(key string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

// loader merges the settings of several sources, each overriding those added before.
type loader struct {
	values *koanf.Koanf
	byName map[string]setting // by current and former name
	// givenNames holds, by current key, the names under which any source gave the setting.
	givenNames map[string]map[string]bool
}

// newLoader returns a loader with the default values.
func newLoader() (*loader, error) {
	l := &loader{values: koanf.New("."), byName: map[string]setting{}, givenNames: map[string]map[string]bool{}}
	fallbacks := map[string]any{}
	for _, s := range table {
		l.byName[s.key] = s
		if s.alias != "" {
			l.byName[s.alias] = s
		}
		if s.defaultValue != "" {
			fallbacks[s.key] = s.defaultValue
		}
	}
	return l, l.values.Load(confmap.Provider(fallbacks, "."), nil)
}

// add merges the values of one source, by dotted name. Former names become current ones. Unknown
// names are kept, so that settings can report them as faults.
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
		if l.givenNames[s.key] == nil {
			l.givenNames[s.key] = map[string]bool{}
		}
		l.givenNames[s.key][name] = true
		byKey[s.key] = value
	}
	return l.values.Load(confmap.Provider(byKey, "."), nil)
}

// hasSection reports whether name is a section that has settings. An empty section of this kind
// in a source is allowed.
func (l *loader) hasSection(name string) bool {
	for known := range l.byName {
		if strings.HasPrefix(known, name+".") {
			return true
		}
	}
	return false
}

// addFile adds a settings file: JSON if its extension is .json, YAML otherwise.
func (l *loader) addFile(path string) error {
	var parser koanf.Parser = yaml.Parser()
	if filepath.Ext(path) == ".json" {
		parser = json.Parser()
	}
	// Keys may be nested, dotted, or both in one file. They are flattened to dotted names first;
	// otherwise it would be undefined which of the two forms is found.
	raw := koanf.New("\x00")
	if err := raw.Load(file.Provider(path), parser); err != nil {
		return err
	}
	flat, _ := maps.Flatten(raw.Raw(), nil, ".")
	return l.add(flat)
}

// addEnvironment adds the environment variables that name a setting and ignores all others.
func (l *loader) addEnvironment() error {
	byVariable := map[string]string{}
	for name := range l.byName {
		byVariable[variableName(name)] = name
	}
	raw := koanf.New("\x00")
	if err := raw.Load(env.Provider(variablePrefix, "\x00", func(variable string) string { return byVariable[strings.ToUpper(variable)] }), nil); err != nil {
		return err
	}
	return l.add(raw.Raw())
}

// displayName returns a setting's key, with its former name if it was given under that name.
func (l *loader) displayName(s setting) string {
	if l.givenNames[s.key][s.alias] {
		return s.key + " (given as " + s.alias + ")"
	}
	return s.key
}
