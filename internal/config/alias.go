package config

import (
	"fmt"
	"sort"
)

// Renaming describes a setting that was given under its former name.
type Renaming struct{ Former, Name string }

// String returns both names as "FORMER is now NAME".
func (r Renaming) String() string { return r.Former + " is now " + r.Name }

// FormerName returns the former name of a setting, or the key itself if it has none. Older builds
// know settings only by these names.
func FormerName(key string) string {
	for _, s := range table {
		if s.key == key && s.alias != "" {
			return s.alias
		}
	}
	return key
}

// renamings returns the settings given under their former names, sorted by current name, and a
// fault for each setting given under both names.
func (l *loader) renamings() (list []Renaming, faults []string) {
	for _, s := range table {
		names := l.givenNames[s.key]
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
