package main

import (
	"strings"
)

// initialisms maps words to their spelling in Go names.
var initialisms = map[string]string{"api": "API", "id": "ID", "ttl": "TTL"}

// camelCase returns the Go name of a key: APIAddress for api.address.
func camelCase(key string) string {
	var b strings.Builder
	for _, word := range strings.FieldsFunc(key, func(r rune) bool { return r == '_' || r == '.' || r == '-' }) {
		if capitals, ok := initialisms[word]; ok {
			b.WriteString(capitals)
			continue
		}
		b.WriteString(strings.ToUpper(word[:1]) + word[1:])
	}
	return b.String()
}

// comment formats a text as a comment with wrapped lines.
func comment(text string) string {
	const width = 90
	var b strings.Builder
	line := "//"
	for _, word := range strings.Fields(text) {
		if len(line)+1+len(word) > width {
			b.WriteString(line + "\n")
			line = "//"
		}
		line += " " + word
	}
	b.WriteString(line + "\n")
	return b.String()
}

// printedFieldName returns the JSON name of a key in printed settings: ApiAddress for
// api.address. It does not depend on the Go name.
func printedFieldName(key string) string {
	var name strings.Builder
	for _, word := range strings.FieldsFunc(key, func(r rune) bool { return r == '_' || r == '.' }) {
		name.WriteString(strings.ToUpper(word[:1]) + word[1:])
	}
	return name.String()
}

// goName returns the name of a Go variable: the override if there is one, otherwise the name.
func goName(override, name string) string {
	if override != "" {
		return override
	}
	return name
}
