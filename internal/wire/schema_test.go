package wire_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const (
	schemaFolder   = "../../schema"
	releasedFolder = schemaFolder + "/released"

	// advice says what to do about a changed format.
	advice = "Routers of both releases run side by side (docs/design/upgrades.md): add an optional field in place of the change, " +
		"or raise \"version\" of the definition, teach the readers both forms, and write the new one only in the release after."
	// rowAdvice says what to do about a new field of a row that several routers write.
	rowAdvice = "Routers of the earlier release write this row too, and drop fields that they do not know: put the field in a " +
		"row of its own, or raise \"version\" of the definition and keep working if the field gets lost."
)

// rewrittenRows are the definitions of rows that a router writes after it has read what another one wrote, and of their parts.
var rewrittenRows = []string{
	"PrepaidSum", "PrepaidEra", "PrepaidView", "PrepaidRouter", "RatelimitRow", "ResumeRow", "ConfigHead",
}

type (
	// schema is a file of definitions.
	schema struct {
		Definitions map[string]*definition `json:"definitions"`
	}

	// definition describes a type or a field.
	definition struct {
		Version    int                    `json:"version"` // Of the format; not set means 1.
		Type       string                 `json:"type"`
		Ref        string                 `json:"$ref"`
		Format     string                 `json:"format"`
		Enum       []string               `json:"enum"`
		Required   []string               `json:"required"`
		Items      *definition            `json:"items"`
		Properties map[string]*definition `json:"properties"`
	}
)

// readSchemas returns all definitions in a folder.
func readSchemas(t *testing.T, folder string) map[string]*definition {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no schemas in %s: %v", folder, err)
	}
	all := make(map[string]*definition)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var s schema
		if err := json.Unmarshal(data, &s); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		for name, d := range s.Definitions {
			all[name] = d
		}
	}
	return all
}

// changes returns what of a definition differs so that routers of the two releases do not understand each other.
func changes(name string, old, current *definition) []string {
	if current == nil {
		return []string{name + " was removed or renamed. " + advice}
	}
	if max(current.Version, 1) > max(old.Version, 1) {
		return nil
	}
	var found []string
	report := func(format string, args ...any) {
		found = append(found, name+": "+fmt.Sprintf(format, args...)+". "+advice)
	}
	for field, before := range old.Properties {
		after := current.Properties[field]
		isRequired, wasRequired := slices.Contains(current.Required, field), slices.Contains(old.Required, field)
		switch {
		case after == nil:
			report("field %s was removed or renamed", field)
		case !sameType(before, after):
			report("field %s has another type", field)
		case isRequired != wasRequired:
			report("field %s was %s", field, map[bool]string{true: "made required", false: "made optional"}[isRequired])
		}
	}
	for field := range current.Properties {
		switch {
		case old.Properties[field] != nil:
		case slices.Contains(current.Required, field):
			report("new field %s is required", field)
		case slices.Contains(rewrittenRows, name):
			found = append(found, fmt.Sprintf("%s: new field %s. %s", name, field, rowAdvice))
		}
	}
	slices.Sort(found)
	return found
}

// sameType reports whether two definitions of a field describe the same type.
func sameType(a, b *definition) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Type == b.Type && a.Ref == b.Ref && a.Format == b.Format && slices.Equal(a.Enum, b.Enum) && sameType(a.Items, b.Items)
}

// releases returns the folders of the released schemas, by release.
func releases(t *testing.T) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(releasedFolder)
	if err != nil || len(entries) == 0 {
		t.Fatalf("no released schemas: %v", err)
	}
	folders := make(map[string]string)
	for _, entry := range entries {
		folders[entry.Name()] = filepath.Join(releasedFolder, entry.Name())
	}
	return folders
}

// Guards against a change of a row or message that routers of an earlier release do not understand, without a new version of
// its format.
func TestFormatsOfReleasesAreKept(t *testing.T) {
	current := readSchemas(t, schemaFolder)
	for release, folder := range releases(t) {
		for name, old := range readSchemas(t, folder) {
			for _, change := range changes(name, old, current[name]) {
				t.Errorf("since release %s: %s", release, change)
			}
		}
	}
}

// Guards against a check of formats that overlooks a change.
func TestChangesOfFormatsAreFound(t *testing.T) {
	text, number := &definition{Type: "string"}, &definition{Type: "integer"}
	list := func(items *definition) *definition { return &definition{Type: "array", Items: items} }
	old := &definition{Required: []string{"a"}, Properties: map[string]*definition{"a": text, "b": list(text)}}
	for name, c := range map[string]struct {
		row     string
		current *definition
		want    int
	}{
		"removed type":            {"X", nil, 1},
		"unchanged":               {"X", old, 0},
		"optional field added":    {"X", &definition{Required: []string{"a"}, Properties: map[string]*definition{"a": text, "b": list(text), "c": text}}, 0},
		"field added to a row":    {"RatelimitRow", &definition{Required: []string{"a"}, Properties: map[string]*definition{"a": text, "b": list(text), "c": text}}, 1},
		"required field added":    {"X", &definition{Required: []string{"a", "c"}, Properties: map[string]*definition{"a": text, "b": list(text), "c": text}}, 1},
		"field removed":           {"X", &definition{Required: []string{"a"}, Properties: map[string]*definition{"a": text}}, 1},
		"field renamed":           {"X", &definition{Required: []string{"a"}, Properties: map[string]*definition{"a": text, "c": list(text)}}, 1},
		"field made required":     {"X", &definition{Required: []string{"a", "b"}, Properties: old.Properties}, 1},
		"field made optional":     {"X", &definition{Properties: old.Properties}, 1},
		"type changed":            {"X", &definition{Required: []string{"a"}, Properties: map[string]*definition{"a": number, "b": list(text)}}, 1},
		"type of items changed":   {"X", &definition{Required: []string{"a"}, Properties: map[string]*definition{"a": text, "b": list(number)}}, 1},
		"changed, version raised": {"X", &definition{Version: 2, Properties: map[string]*definition{"a": number}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if found := changes(c.row, old, c.current); len(found) != c.want {
				t.Errorf("%d changes found, expected %d: %v", len(found), c.want, found)
			}
		})
	}
}

// Guards against a value of this release of which an earlier one does not understand a field: it must have each field that the
// schema of that release requires, and all fields that both have must be of the type that it expects.
func TestEarlierReleasesUnderstandValues(t *testing.T) {
	for release, folder := range releases(t) {
		definitions := readSchemas(t, folder)
		for name, d := range definitions {
			if d.Type != "object" || types[name] == nil {
				t.Errorf("release %s: no type %s", release, name)
				continue
			}
			for kind, data := range map[string][]byte{"filled": encodeFilled(t, name), "empty": encodeEmpty(t, name)} {
				var value any
				if err := json.Unmarshal(data, &value); err != nil {
					t.Fatal(err)
				}
				if problem := mismatch(definitions, d, value, name); problem != "" {
					t.Errorf("release %s, %s value: %s. %s", release, kind, problem, advice)
				}
			}
		}
	}
}

func encodeEmpty(t *testing.T, name string) []byte {
	t.Helper()
	data, err := json.Marshal(reflect.New(reflect.TypeOf(types[name]).Elem()).Interface())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// mismatch returns in which respect a value does not follow a definition; empty if it does. A list may be null, which Go reads as
// empty.
func mismatch(all map[string]*definition, d *definition, value any, path string) string {
	if d.Ref != "" {
		return mismatch(all, all[strings.TrimPrefix(d.Ref, "#/definitions/")], value, path)
	}
	ok := true
	switch d.Type {
	case "object":
		fields, isObject := value.(map[string]any)
		if !isObject {
			return path + " is no object"
		}
		for _, name := range d.Required {
			if _, found := fields[name]; !found {
				return path + "." + name + " is missing"
			}
		}
		for name, field := range d.Properties {
			if v, found := fields[name]; found {
				if problem := mismatch(all, field, v, path+"."+name); problem != "" {
					return problem
				}
			}
		}
	case "array":
		items, isList := value.([]any)
		ok = isList || value == nil
		for _, item := range items {
			if problem := mismatch(all, d.Items, item, path+"[]"); problem != "" {
				return problem
			}
		}
	case "string":
		_, ok = value.(string)
	case "boolean":
		_, ok = value.(bool)
	case "integer", "number":
		_, ok = value.(float64)
	default:
		return path + " has the unknown type " + d.Type
	}
	if !ok {
		return fmt.Sprintf("%s is %v, expected a value of type %s", path, value, d.Type)
	}
	return ""
}
