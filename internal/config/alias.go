package config

import (
	"fmt"
	"sort"
)

// Renaming is a setting that was given under its former name.
type Renaming struct{ Former, Name string }

// String returns both names in words.
func (r Renaming) String() string { return r.Former + " is now " + r.Name }

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
