package inventory

import (
	"cmp"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"

	"github.com/gravitational/trace"
)

type (
	// Position is a line of an input file. The zero value is an unknown position.
	Position struct {
		File string `json:"file,omitempty"`
		Line int    `json:"line,omitempty"`
	}

	// File is one input file.
	File struct {
		Name string `json:"name"`
		Text []byte `json:"text"`
	}

	// Document is a parsed inventory with the positions of its tables and keys and the findings of the parser. The
	// inventory is valid only if Check returns no findings.
	Document struct {
		Inventory Inventory

		files    []string           // Names of the input files.
		elements []element          // Including the root table of each file.
		keyLines []keyLine          // Sorted by element.
		tables   map[string][]int32 // Indexes into elements for each table, in the order of the inventory.
		topups   map[int32][]int32  // Indexes into elements for the top-ups, by the element of their budget.
		findings []Finding          // Findings of the parser.
	}

	// element is the position of one element of a table.
	element struct {
		file int32 // Index into Document.files.
		line int32
	}

	// keyLine is the line of one key of an element.
	keyLine struct {
		element int32 // Index into Document.elements.
		field   int32 // Index of the struct field that holds the key.
		line    int32
	}
)

// Parse parses one TOML file. Check reports unknown keys and wrong types. The error is a TOML syntax error; the
// document then holds what precedes it.
func Parse(name string, data []byte) (*Document, error) {
	return ParseFiles([]File{{Name: name, Text: data}})
}

// ParseFiles parses several TOML files as one inventory, in the given order. The error is that of the first file with a
// TOML syntax error; Check reports all of them.
func ParseFiles(files []File) (*Document, error) {
	d := NewDocument(Inventory{})
	interned := make(map[string]string)
	var firstErr error
	for _, file := range files {
		err := decodeFile(d, interned, file)
		if err != nil && firstErr == nil {
			firstErr = trace.Wrap(err)
		}
	}
	slices.SortStableFunc(d.keyLines, func(a, b keyLine) int { return cmp.Compare(a.element, b.element) })
	return d, firstErr
}

// NewDocument returns a document of the inventory without positions.
func NewDocument(inventory Inventory) *Document {
	return &Document{Inventory: inventory, tables: make(map[string][]int32), topups: make(map[int32][]int32)}
}

// ReadFiles reads the files at the paths for ParseFiles. A directory stands for the .toml files in it, sorted by name.
func ReadFiles(paths ...string) ([]File, error) {
	var result []File
	for _, path := range paths {
		names, err := tomlFiles(path)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, trace.ConvertSystemError(err)
			}
			result = append(result, File{Name: name, Text: text})
		}
	}
	return result, nil
}

// Load reads and parses files and directories as one inventory. It returns an error if a file cannot be read; Check
// reports TOML syntax errors.
func Load(paths ...string) (*Document, error) {
	files, err := ReadFiles(paths...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d, _ := ParseFiles(files)
	return d, nil
}

// Position returns the position of a key of the element at the index of a table. A key that is not set has the position
// of its element. The zero value is returned for an element without a position.
func (d *Document) Position(table string, index int, key string) Position {
	elements := d.tables[table]
	if index < 0 || index >= len(elements) {
		return Position{}
	}
	return d.keyPosition(elements[index], elementTypes[table], key)
}

// topupPosition returns the position of a key of a top-up, like Position.
func (d *Document) topupPosition(budget, index int, key string) Position {
	elements := d.tables["budget"]
	if budget >= len(elements) {
		return Position{}
	}
	topups := d.topups[elements[budget]]
	if index >= len(topups) {
		return Position{}
	}
	return d.keyPosition(topups[index], topupType, key)
}

// keyPosition returns the position of a key of an element, or that of the element if the key is not set.
func (d *Document) keyPosition(elementID int32, tableType reflect.Type, key string) Position {
	tablePosition := d.elements[elementID]
	pos := Position{File: d.files[tablePosition.file], Line: int(tablePosition.line)}
	field, ok := fieldIndexesOf(tableType)[key]
	if !ok {
		return pos
	}
	i, _ := slices.BinarySearchFunc(d.keyLines, elementID, func(k keyLine, id int32) int { return cmp.Compare(k.element, id) })
	for ; i < len(d.keyLines) && d.keyLines[i].element == elementID; i++ {
		if d.keyLines[i].field == int32(field) {
			pos.Line = int(d.keyLines[i].line)
			return pos
		}
	}
	return pos
}

// tomlFiles returns the path itself, or the .toml files in it if it is a directory.
func tomlFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var result []string
	for _, entry := range entries {
		if entry.Type()&fs.ModeDir == 0 && filepath.Ext(entry.Name()) == ".toml" {
			result = append(result, filepath.Join(path, entry.Name()))
		}
	}
	return result, nil
}
