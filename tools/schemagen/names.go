package main

import (
	"strings"
)

// initialisms are the words that Go writes in capitals throughout.
var initialisms = map[string]string{"api": "API", "id": "ID", "ttl": "TTL"}

// camelCase returns the Go name of a key, as in APIAddress for api.address.
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

// comment wraps a text into comment lines.
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

// shownAs returns the name under which the check of settings prints a key, as in
// ApiAddress for api.address; it does not follow the Go name.
func shownAs(key string) string {
	var name strings.Builder
	for _, word := range strings.FieldsFunc(key, func(r rune) bool { return r == '_' || r == '.' }) {
		name.WriteString(strings.ToUpper(word[:1]) + word[1:])
	}
	return name.String()
}

// goName is the name in the code: the one given, or else the one that follows.
func goName(given, otherwise string) string {
	if given != "" {
		return given
	}
	return otherwise
}
