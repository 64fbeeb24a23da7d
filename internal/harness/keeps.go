package harness

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Keeps returns an error unless all fields of a JSON value are in another one with equal values. The other one may have more
// fields.
func Keeps(before, after []byte) error {
	var old, current any
	if err := json.Unmarshal(before, &old); err != nil {
		return err
	}
	if err := json.Unmarshal(after, &current); err != nil {
		return err
	}
	return keeps("", old, current)
}

func keeps(path string, old, current any) error {
	switch old := old.(type) {
	case map[string]any:
		fields, ok := current.(map[string]any)
		if !ok {
			return fmt.Errorf("harness: %s was %v and is %v", path, old, current)
		}
		for name, value := range old {
			if err := keeps(path+"."+name, value, fields[name]); err != nil {
				return err
			}
		}
		return nil
	case []any:
		items, ok := current.([]any)
		if !ok || len(items) != len(old) {
			return fmt.Errorf("harness: %s was %v and is %v", path, old, current)
		}
		for i, value := range old {
			if err := keeps(fmt.Sprintf("%s[%d]", path, i), value, items[i]); err != nil {
				return err
			}
		}
		return nil
	}
	if !reflect.DeepEqual(old, current) {
		return fmt.Errorf("harness: %s was %v and is %v", path, old, current)
	}
	return nil
}
