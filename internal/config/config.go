// Package config reads a node's settings from their defaults, a file, environment variables
// and flags, in that order, and checks them. Every fault is named by its key, unknown keys
// included, and nothing starts on faulty settings. The settings stand in schema/config.yaml.
package config

import (
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

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
			faults = append(faults, l.nameOf(s)+": "+err.Error())
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
