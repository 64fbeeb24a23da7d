package inventory

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2/unstable"
)

var (
	// Struct types, whose fields carry the TOML keys in their tags.
	inventoryType = reflect.TypeFor[Inventory]()
	topupType     = reflect.TypeFor[TopUp]()

	// elementTypes maps the name of each top-level table to the type of its elements.
	elementTypes = tableTypes()

	// fieldIndexCache maps each reflect.Type to its fieldIndexes.
	fieldIndexCache sync.Map
)

type (
	// fieldIndexes maps the TOML keys of a struct type to its field indexes.
	fieldIndexes map[string]int

	// target is the table element that key-value pairs are decoded into.
	target struct {
		value    reflect.Value // The struct. Invalid in an unknown table, whose pairs are skipped.
		name     string        // Name of the table.
		element  int32         // Index into Document.elements.
		assigned uint64        // Bit set of the struct fields already set.
	}

	// decoder decodes one file into a document. It walks the syntax nodes of the parser, since Unmarshal stops at the
	// first wrong type and does not keep positions.
	decoder struct {
		doc          *Document
		parser       unstable.Parser
		data         []byte
		interned     map[string]string // Shares equal strings, such as the account name of many budgets.
		fileIndex    int32             // Index into Document.files.
		firstElement map[string]int    // Index of the first element of this file in each table.
		target       target            // Element that the next key-value pairs belong to.
		countedTo    int               // Byte offset up to which line is counted.
		line         int               // Line number at countedTo.
	}
)

// decodeFile decodes one file and appends its tables to the document. The error is a TOML syntax error, which is also
// added to the findings.
func decodeFile(doc *Document, interned map[string]string, file File) error {
	d := &decoder{doc: doc, data: file.Text, interned: interned, line: 1, fileIndex: int32(len(doc.files))}
	doc.files = append(doc.files, file.Name)
	d.firstElement = make(map[string]int)
	for table, elements := range doc.tables {
		d.firstElement[table] = len(elements)
	}
	d.target = d.rootTable()
	d.parser.Reset(file.Text)
	for d.parser.NextExpression() {
		d.decodeExpression(d.parser.Expression())
	}
	err := d.parser.Error()
	if err == nil {
		return nil
	}
	return d.reportSyntaxError(file.Name, err)
}

// reportSyntaxError adds a finding for a TOML syntax error, and returns the error with its position.
func (d *decoder) reportSyntaxError(name string, err error) error {
	line := d.line
	if e, ok := err.(*unstable.ParserError); ok && len(e.Highlight) > 0 {
		line = d.lineAt(int(d.parser.Range(e.Highlight).Offset))
	}
	d.report(line, err.Error(), "correct the TOML syntax", "TOML 1.0")
	return trace.BadParameter("%s:%d: %v", name, line, err)
}

// rootTable returns the target for the key-value pairs before the first table header.
func (d *decoder) rootTable() target {
	id := d.addElement(1)
	return target{value: reflect.ValueOf(&d.doc.Inventory).Elem(), name: "inventory", element: id}
}

// addElement records the position of an element and returns its index in Document.elements.
func (d *decoder) addElement(line int) int32 {
	d.doc.elements = append(d.doc.elements, element{file: d.fileIndex, line: int32(line)})
	return int32(len(d.doc.elements) - 1)
}

func (d *decoder) report(line int, text, fix, accepted string) {
	pos := Position{File: d.doc.files[d.fileIndex], Line: line}
	d.doc.findings = append(d.doc.findings, Finding{Position: pos, Text: text, Fix: fix, Accepted: accepted})
}

// lineAt returns the line number of a byte offset. It continues to count from the previous offset. Offsets mostly
// increase, so that each file is scanned about once.
func (d *decoder) lineAt(offset int) int {
	if offset < d.countedTo {
		d.countedTo, d.line = 0, 1
	}
	d.line += bytes.Count(d.data[d.countedTo:offset], []byte{'\n'})
	d.countedTo = offset
	return d.line
}

func (d *decoder) decodeExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.KeyValue:
		d.setKey(&d.target, node)
	case unstable.Table, unstable.ArrayTable:
		d.startTable(node)
	}
}

// startTable handles a table header: it appends an element to the table and makes it the target.
func (d *decoder) startTable(node *unstable.Node) {
	parts, line := d.keyParts(node)
	name := strings.Join(parts, ".")
	d.target = target{name: name}
	switch {
	case len(parts) == 1 && elementTypes[name] != nil:
	case name == "budget.topup":
	default:
		d.report(line, fmt.Sprintf("unknown table %q", name), "remove or rename the table", tableNames())
		return
	}
	if node.Kind == unstable.Table {
		text := fmt.Sprintf("table %q is written as a single table", name)
		d.report(line, text, "write [["+name+"]]", "an array of tables")
		return
	}
	if name == "budget.topup" {
		d.startTopup(line)
		return
	}
	field := reflect.ValueOf(&d.doc.Inventory).Elem().Field(fieldIndexesOf(inventoryType)[name])
	d.target = d.appendTable(field, name, line)
	d.doc.tables[name] = append(d.doc.tables[name], d.target.element)
}

// startTopup appends a top-up to the last budget of the file and makes it the target.
func (d *decoder) startTopup(line int) {
	budgets := d.doc.tables["budget"]
	if len(budgets) == d.firstElement["budget"] {
		d.report(line, "a top-up precedes every budget of the file", "put it below its [[budget]]", "a table below a budget")
		return
	}
	parent := budgets[len(budgets)-1]
	budget := &d.doc.Inventory.Budgets[len(d.doc.Inventory.Budgets)-1]
	d.target = d.appendTable(reflect.ValueOf(&budget.TopUps).Elem(), "budget.topup", line)
	d.doc.topups[parent] = append(d.doc.topups[parent], d.target.element)
}

// appendTable appends an empty element to a slice of structs and returns it as a target.
func (d *decoder) appendTable(list reflect.Value, name string, line int) target {
	last := list.Len()
	if last == list.Cap() {
		list.Grow(1)
	}
	list.SetLen(last + 1)
	return target{value: list.Index(last), name: name, element: d.addElement(line)}
}

// keyParts returns the parts of a dotted key and its line.
func (d *decoder) keyParts(node *unstable.Node) (parts []string, line int) {
	for it := node.Key(); it.Next(); {
		if parts == nil {
			line = d.lineAt(int(it.Node().Raw.Offset))
		}
		parts = append(parts, d.intern(it.Node().Data))
	}
	return parts, line
}

// intern returns the data as a string, and the same string for equal data.
func (d *decoder) intern(data []byte) string {
	if s, ok := d.interned[string(data)]; ok {
		return s
	}
	s := string(data)
	d.interned[s] = s
	return s
}

// setKey decodes one key-value pair into dest.
func (d *decoder) setKey(dest *target, node *unstable.Node) {
	if !dest.value.IsValid() {
		return
	}
	it := node.Key()
	it.Next()
	line := d.lineAt(int(it.Node().Raw.Offset))
	field, ok := fieldIndexesOf(dest.value.Type())[string(it.Node().Data)]
	if !ok || !it.IsLast() {
		parts, _ := d.keyParts(node)
		text := fmt.Sprintf("unknown key %q in %s", strings.Join(parts, "."), dest.name)
		d.report(line, text, "remove or rename the key", keyNames(dest.value.Type()))
		return
	}
	key := string(it.Node().Data)
	if dest.assigned&(1<<field) != 0 {
		d.report(line, fmt.Sprintf("key %q is given twice in %s", key, dest.name), "remove one of them", "once")
		return
	}
	dest.assigned |= 1 << field
	d.doc.keyLines = append(d.doc.keyLines, keyLine{element: dest.element, field: int32(field), line: int32(line)})
	d.setValue(dest, dest.value.Field(field), key, node.Value(), line)
}

// setValue decodes a value into a field of dest.
func (d *decoder) setValue(dest *target, field reflect.Value, key string, node *unstable.Node, line int) {
	switch field.Kind() {
	case reflect.Slice:
		d.setList(dest, field, key, node, line)
	case reflect.String:
		if node.Kind != unstable.String {
			d.reportWrongType(dest, key, node, line, "a string")
			return
		}
		field.SetString(d.valueString(key, node.Data))
	case reflect.Bool:
		if node.Kind != unstable.Bool {
			d.reportWrongType(dest, key, node, line, "true or false")
			return
		}
		field.SetBool(string(node.Data) == "true")
	case reflect.Float64:
		d.setFloat(dest, field, key, node, line)
	default:
		d.setInteger(dest, field, key, node, line)
	}
}

// valueString returns the data as a string. It interns only the values of keys that often have the same value. Names
// are unique in their table, so that interning them would only waste memory.
func (d *decoder) valueString(key string, data []byte) string {
	if key == "account" || key == "service" || key == "place" || key == "class" {
		return d.intern(data)
	}
	return string(data)
}

func (d *decoder) reportWrongType(dest *target, key string, node *unstable.Node, line int, accepted string) {
	text := fmt.Sprintf("key %q of %s has the type %s", key, dest.name, strings.ToLower(node.Kind.String()))
	d.report(line, text, "write "+accepted, accepted)
}

func (d *decoder) setInteger(dest *target, field reflect.Value, key string, node *unstable.Node, line int) {
	if node.Kind != unstable.Integer {
		d.reportWrongType(dest, key, node, line, "an integer")
		return
	}
	value, err := strconv.ParseInt(string(node.Data), 0, 64)
	if err != nil || field.OverflowInt(value) {
		text := fmt.Sprintf("key %q of %s is not an integer of 64 bits: %s", key, dest.name, node.Data)
		d.report(line, text, "write a smaller number", fmt.Sprintf("0 to %d", int64(MaxTokens)))
		return
	}
	field.SetInt(value)
}

func (d *decoder) setFloat(dest *target, field reflect.Value, key string, node *unstable.Node, line int) {
	if node.Kind != unstable.Float && node.Kind != unstable.Integer {
		d.reportWrongType(dest, key, node, line, "a number")
		return
	}
	value, err := strconv.ParseFloat(strings.ReplaceAll(string(node.Data), "_", ""), 64)
	if err != nil {
		d.reportWrongType(dest, key, node, line, "a decimal number")
		return
	}
	field.SetFloat(value)
}

// setList decodes an array of strings or of inline tables into a field of dest.
func (d *decoder) setList(dest *target, field reflect.Value, key string, node *unstable.Node, line int) {
	accepted, kind := "an array of strings", unstable.String
	tables := field.Type().Elem().Kind() == reflect.Struct
	if tables {
		accepted, kind = "an array of tables", unstable.InlineTable
	}
	if node.Kind != unstable.Array {
		d.reportWrongType(dest, key, node, line, accepted)
		return
	}
	for it := node.Children(); it.Next(); {
		item := it.Node()
		switch {
		case item.Kind != kind:
			d.reportWrongType(dest, key, item, line, accepted)
		case tables:
			d.appendInlineTable(dest, field, key, item, line)
		default:
			field.Set(reflect.Append(field, reflect.ValueOf(string(item.Data)).Convert(field.Type().Elem())))
		}
	}
}

// appendInlineTable decodes an inline table and appends it to a list of dest.
func (d *decoder) appendInlineTable(dest *target, list reflect.Value, key string, node *unstable.Node, line int) {
	item := d.appendTable(list, key, line)
	if dest.value.Type() == inventoryType {
		d.doc.tables[key] = append(d.doc.tables[key], item.element)
	} else {
		d.doc.topups[dest.element] = append(d.doc.topups[dest.element], item.element)
	}
	for it := node.Children(); it.Next(); {
		d.setKey(&item, it.Node())
	}
}

// fieldIndexesOf returns the field indexes of a struct type by TOML key, from the cache if they are there.
func fieldIndexesOf(tableType reflect.Type) fieldIndexes {
	if indexes, ok := fieldIndexCache.Load(tableType); ok {
		return indexes.(fieldIndexes)
	}
	indexes := make(fieldIndexes)
	for i := range tableType.NumField() {
		indexes[tableType.Field(i).Tag.Get("toml")] = i
	}
	fieldIndexCache.Store(tableType, indexes)
	return indexes
}

// tableTypes returns the element type of each top-level table by name.
func tableTypes() map[string]reflect.Type {
	result := make(map[string]reflect.Type)
	for key, field := range fieldIndexesOf(inventoryType) {
		result[key] = inventoryType.Field(field).Type.Elem()
	}
	return result
}

// tableNames returns the names of all tables, sorted and joined by commas.
func tableNames() string {
	names := append(slices.Collect(maps.Keys(elementTypes)), "budget.topup")
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// keyNames returns the TOML keys of a struct type, sorted and joined by commas.
func keyNames(tableType reflect.Type) string {
	return strings.Join(slices.Sorted(maps.Keys(fieldIndexesOf(tableType))), ", ")
}
