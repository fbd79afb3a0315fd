// Package approved holds what other builds, disks and callers know of this one: the
// JSON of messages and records, byte for byte. Go names may change; what stands in
// testdata may not.
package approved

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"reflect"
	"strings"
	"testing"
)

// jsonName is the name of a field in JSON; none if it isn't written.
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

var rawType = reflect.TypeFor[json.RawMessage]()

// fill gives everything a value that is not zero, hangs on its path in JSON alone, and
// stands once; used is the numbers that are given out.
func fill(t *testing.T, v reflect.Value, path string, used map[uint64]bool) {
	t.Helper()
	h := fnv.New32a()
	h.Write([]byte(path))
	number := uint64(h.Sum32()%100000 + 1)
	for used[number] {
		number++
	}
	used[number] = true
	if v.Type() == rawType {
		raw, _ := json.Marshal(map[string]string{"raw": path})
		v.SetBytes(raw)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.Anonymous && f.Tag.Get("json") == "" {
				fill(t, v.Field(i), path, used)
			} else if name := jsonName(f); name != "" {
				fill(t, v.Field(i), path+"."+name, used)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), path, used)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte(path))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(t, v.Index(0), path+"[0]", used)
		fill(t, v.Index(1), path+"[1]", used)
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i), path+"[]", used)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key, path+"{key}", used)
		fill(t, value, path+"{value}", used)
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

// kind is a type under an id that stays whatever the type is called.
type kind struct {
	id   string
	zero any
}

// show is each type's JSON, filled and empty, and it must be read back to the same.
func show(t *testing.T, kinds []kind) string {
	t.Helper()
	var out strings.Builder
	seen := map[string]bool{}
	for _, k := range kinds {
		if seen[k.id] {
			t.Errorf("id %s stands twice", k.id)
		}
		seen[k.id] = true
		full := reflect.New(reflect.TypeOf(k.zero))
		fill(t, full.Elem(), k.id, map[uint64]bool{})
		empty := reflect.New(reflect.TypeOf(k.zero))
		for _, what := range []struct {
			name  string
			value any
		}{{"full", full.Interface()}, {"empty", empty.Interface()}} {
			raw, err := json.Marshal(what.value)
			if err != nil {
				t.Fatalf("%s: %v", k.id, err)
			}
			back := reflect.New(reflect.TypeOf(k.zero))
			if err := json.Unmarshal(raw, back.Interface()); err != nil {
				t.Errorf("%s: %s is not read: %v", k.id, what.name, err)
			} else if again, _ := json.Marshal(back.Interface()); !bytes.Equal(raw, again) {
				t.Errorf("%s: %s is read otherwise:\n%s\n%s", k.id, what.name, raw, again)
			}
			out.WriteString(k.id + " " + what.name + " " + string(raw) + "\n")
		}
	}
	return out.String()
}
