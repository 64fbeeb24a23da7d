package inventory

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

const (
	// OpAdd means that an element exists only in the new inventory.
	OpAdd Op = "add"
	// OpRemove means that an element exists only in the old inventory.
	OpRemove Op = "remove"
	// OpChange means that keys of an element differ.
	OpChange Op = "change"
	// OpReorder means that the elements of the rule or budget table are in another order. The order of rules decides
	// which one applies, and the first budget of an account is its default.
	OpReorder Op = "order"
)

type (
	// Op is the kind of a change.
	Op string

	// Change is one difference between two inventories.
	Change struct {
		Op    Op          `json:"op"`
		Table string      `json:"table"`
		Name  string      `json:"name,omitempty"` // For a budget, "account/budget".
		Keys  []KeyChange `json:"keys,omitempty"`
	}

	// KeyChange is a key whose values differ. The values are TOML literals; the empty string means unset.
	KeyChange struct {
		Key string `json:"key"`
		Old string `json:"old,omitempty"`
		New string `json:"new,omitempty"`
	}
)

// String formats the change as one line.
func (c Change) String() string {
	symbol := map[Op]string{OpAdd: "+", OpRemove: "-", OpChange: "~", OpReorder: "^"}[c.Op]
	parts := []string{symbol, c.Table}
	if c.Name != "" {
		parts = append(parts, c.Name)
	}
	for _, key := range c.Keys {
		switch c.Op {
		case OpAdd:
			parts = append(parts, key.Key+"="+key.New)
		case OpRemove:
			parts = append(parts, key.Key+"="+key.Old)
		default:
			parts = append(parts, fmt.Sprintf("%s: %s -> %s", key.Key, cmp.Or(key.Old, "unset"), cmp.Or(key.New, "unset")))
		}
	}
	return strings.Join(parts, " ")
}

// Diff returns the differences between two inventories. For each table the removed elements come first, in the old
// order, then the changed and added ones, in the new order.
func Diff(old, updated *Inventory) []Change {
	var result []Change
	oldTables, newTables := reflect.ValueOf(old).Elem(), reflect.ValueOf(updated).Elem()
	for i := range inventoryType.NumField() {
		table := inventoryType.Field(i).Tag.Get("toml")
		result = append(result, diffTable(table, oldTables.Field(i), newTables.Field(i))...)
	}
	return result
}

// diffTable returns the differences between two lists of elements of the same table.
func diffTable(table string, oldList, newList reflect.Value) []Change {
	var result []Change
	oldNames, newNames := elementNames(oldList), elementNames(newList)
	oldIndex, newIndex := indexByName(oldNames), indexByName(newNames)
	zero := reflect.Zero(newList.Type().Elem())
	for i, name := range oldNames {
		if _, ok := newIndex[name]; !ok {
			result = append(result, Change{Op: OpRemove, Table: table, Name: name, Keys: diffKeys(oldList.Index(i), zero)})
		}
	}
	for i, name := range newNames {
		j, ok := oldIndex[name]
		if !ok {
			result = append(result, Change{Op: OpAdd, Table: table, Name: name, Keys: diffKeys(zero, newList.Index(i))})
			continue
		}
		if keys := diffKeys(oldList.Index(j), newList.Index(i)); len(keys) > 0 {
			result = append(result, Change{Op: OpChange, Table: table, Name: name, Keys: keys})
		}
	}
	if (table == "rule" || table == "budget") && reordered(oldNames, newNames, oldIndex, newIndex) {
		result = append(result, Change{Op: OpReorder, Table: table})
	}
	return result
}

// elementNames returns the names of the elements of a table, as "account/budget" for budgets.
func elementNames(list reflect.Value) []string {
	result := make([]string, list.Len())
	name, _ := list.Type().Elem().FieldByName("Name")
	account, isBudget := list.Type().Elem().FieldByName("Account")
	isBudget = isBudget && list.Type().Elem() == elementTypes["budget"]
	for i := range result {
		result[i] = list.Index(i).FieldByIndex(name.Index).String()
		if isBudget {
			result[i] = list.Index(i).FieldByIndex(account.Index).String() + "/" + result[i]
		}
	}
	return result
}

func indexByName(names []string) map[string]int {
	result := make(map[string]int, len(names))
	for i, name := range names {
		result[name] = i
	}
	return result
}

// reordered returns whether the elements that both lists have are in a different order.
func reordered(oldNames, newNames []string, oldIndex, newIndex map[string]int) bool {
	keepCommon := func(names []string, otherIndex map[string]int) []string {
		var result []string
		for _, name := range names {
			if _, ok := otherIndex[name]; ok {
				result = append(result, name)
			}
		}
		return result
	}
	return !slices.Equal(keepCommon(oldNames, newIndex), keepCommon(newNames, oldIndex))
}

// diffKeys returns the differences between two elements of the same table, except for the name.
func diffKeys(oldTable, newTable reflect.Value) []KeyChange {
	var result []KeyChange
	for i := range oldTable.NumField() {
		if sameScalar(oldTable.Field(i), newTable.Field(i)) {
			continue
		}
		key := oldTable.Type().Field(i).Tag.Get("toml")
		oldLiteral, newLiteral := tomlLiteral(oldTable.Field(i)), tomlLiteral(newTable.Field(i))
		if oldLiteral != newLiteral && key != "name" {
			result = append(result, KeyChange{Key: key, Old: oldLiteral, New: newLiteral})
		}
	}
	return result
}

// sameScalar returns whether two values are equal, without the cost of formatting them. Lists that are not empty always
// count as different; diffKeys compares their literals.
func sameScalar(oldValue, newValue reflect.Value) bool {
	if oldValue.Kind() == reflect.Slice {
		return oldValue.Len() == 0 && newValue.Len() == 0
	}
	return oldValue.Equal(newValue)
}

// tomlLiteral returns a value as a TOML literal, or the empty string for a zero value or an empty list.
func tomlLiteral(value reflect.Value) string {
	if value.IsZero() || (value.Kind() == reflect.Slice && value.Len() == 0) {
		return ""
	}
	switch value.Kind() {
	case reflect.String:
		return quote(value.String())
	case reflect.Slice:
		parts := make([]string, value.Len())
		for i := range parts {
			parts[i] = tomlLiteral(value.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case reflect.Struct:
		var parts []string
		for i := range value.NumField() {
			parts = append(parts, value.Type().Field(i).Tag.Get("toml")+" = "+cmp.Or(tomlLiteral(value.Field(i)), "0"))
		}
		return "{" + strings.Join(parts, ", ") + "}"
	default:
		return fmt.Sprint(value.Interface())
	}
}
