// Package approved tests that the formats read by other builds, by callers and from existing data
// folders stay the same. It compares the JSON of messages and records and the responses of a node
// with the approved files in testdata, byte for byte. Go names may change; these files may not.
package approved

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"reflect"
	"strings"
	"testing"
)

// jsonName returns the JSON name of a field, or "" if the field isn't marshaled.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	switch {
	case name == "-" || !f.IsExported():
		return ""
	case name == "":
		return f.Name
	}
	return name
}

var rawMessageType = reflect.TypeFor[json.RawMessage]()

// fill sets every value in v to a non-zero value that depends only on its JSON path, so that
// renamed Go fields don't change it. Numbers are unique; usedNumbers contains those already set.
func fill(t *testing.T, v reflect.Value, path string, usedNumbers map[uint64]bool) {
	t.Helper()
	h := fnv.New32a()
	h.Write([]byte(path))
	number := uint64(h.Sum32()%100000 + 1)
	for usedNumbers[number] {
		number++
	}
	usedNumbers[number] = true
	if v.Type() == rawMessageType {
		raw, _ := json.Marshal(map[string]string{"raw": path})
		v.SetBytes(raw)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.Anonymous && f.Tag.Get("json") == "" {
				fill(t, v.Field(i), path, usedNumbers)
			} else if name := jsonName(f); name != "" {
				fill(t, v.Field(i), path+"."+name, usedNumbers)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), path, usedNumbers)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte(path))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(t, v.Index(0), path+"[0]", usedNumbers)
		fill(t, v.Index(1), path+"[1]", usedNumbers)
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i), path+"[]", usedNumbers)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key, path+"{key}", usedNumbers)
		fill(t, value, path+"{value}", usedNumbers)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(path)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(number))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(number)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number))
	case reflect.Interface:
		v.Set(reflect.ValueOf(path))
	default:
		t.Fatalf("%s: can't fill %s", path, v.Type())
	}
}

// jsonType is a type with an ID that doesn't change when the Go type is renamed.
type jsonType struct {
	id   string
	zero any
}

// renderJSON returns the JSON of each type, filled and empty, and checks that unmarshaling and
// marshaling it again gives the same bytes.
func renderJSON(t *testing.T, types []jsonType) string {
	t.Helper()
	var out strings.Builder
	ids := map[string]bool{}
	for _, typ := range types {
		if ids[typ.id] {
			t.Errorf("duplicate ID %s", typ.id)
		}
		ids[typ.id] = true
		full := reflect.New(reflect.TypeOf(typ.zero))
		fill(t, full.Elem(), typ.id, map[uint64]bool{})
		empty := reflect.New(reflect.TypeOf(typ.zero))
		for _, variant := range []struct {
			name  string
			value any
		}{{"full", full.Interface()}, {"empty", empty.Interface()}} {
			raw, err := json.Marshal(variant.value)
			if err != nil {
				t.Fatalf("%s: %v", typ.id, err)
			}
			decoded := reflect.New(reflect.TypeOf(typ.zero))
			if err := json.Unmarshal(raw, decoded.Interface()); err != nil {
				t.Errorf("%s: %s JSON can't be unmarshaled: %v", typ.id, variant.name, err)
			} else if reencoded, _ := json.Marshal(decoded.Interface()); !bytes.Equal(raw, reencoded) {
				t.Errorf("%s: %s JSON changes when read and written again:\n%s\n%s", typ.id, variant.name, raw, reencoded)
			}
			out.WriteString(typ.id + " " + variant.name + " " + string(raw) + "\n")
		}
	}
	return out.String()
}
