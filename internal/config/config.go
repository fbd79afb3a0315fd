// Package config reads a node's settings from defaults, a file, environment variables and flags,
// each overriding the sources before it, and validates them. It reports every fault with the
// setting's key, including unknown keys; a node does not start with faulty settings. The settings
// are defined in schema/config.yaml.
package config

import (
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Load reads and validates the settings of one node. An empty path means no file. An error has
// the code errcode.InvalidSettings. If the settings are faulty, it has a path for each fault.
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
	flagValues := make(map[string]any, len(flags))
	for key, value := range flags {
		flagValues[key] = value
	}
	if err := l.add(flagValues); err != nil {
		return nil, errcode.New(errcode.InvalidSettings, "%v", err)
	}
	return l.settings()
}

// settings parses and validates the loaded values.
func (l *loader) settings() (*Settings, error) {
	settings := &Settings{}
	var faults []string
	settings.Renamed, faults = l.renamings()
	for _, key := range l.values.Keys() {
		if s, known := l.byName[key]; !known || s.key != key {
			faults = append(faults, key+": no such setting")
		}
	}
	for _, s := range table {
		value, err := s.parse(l.values)
		if err != nil {
			faults = append(faults, l.displayName(s)+": "+err.Error())
			continue
		}
		s.set(settings, value)
	}
	faults = append(faults, settings.validate()...)
	if len(faults) > 0 {
		sort.Strings(faults)
		return nil, errcode.NewPaths(errcode.InvalidSettings, faults)
	}
	return settings, nil
}
