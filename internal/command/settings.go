package command

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/peterbourgon/ff/v3"
)

const (
	// flagTypeInt and kindText are the types of flags as flag.UnquoteUsage names them.
	flagTypeInt    = "int"
	flagTypeString = "string"
)

var (
	errWrongType = errors.New("wrong type")
)

type (
	// settingsFile reads a settings file in TOML and remembers the line of each key.
	settingsFile struct {
		path   string
		flags  *flag.FlagSet
		lines  map[string]int
		preset map[string]bool // Keys that the command line or the environment set before the file was read.
	}
)

// newSettingsFile adds the -config flag and returns the reader of the file that it names.
func newSettingsFile(flags *flag.FlagSet) *settingsFile {
	flags.String("config", "", "settings file in TOML")
	return &settingsFile{flags: flags, lines: make(map[string]int), preset: make(map[string]bool)}
}

// parseOptions makes flags go before the environment, and that before the file.
func (f *settingsFile) parseOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(environmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(f.parse),
	}
}

// origin names the place that a key's value came from.
func (f *settingsFile) origin(key string) string {
	if line, ok := f.lines[key]; ok {
		return fmt.Sprintf("%s:%d: %s", f.path, line, key)
	}
	variable := environmentPrefix + "_" + strings.ToUpper(key)
	if value, ok := os.LookupEnv(variable); ok && f.hasValue(key, value) {
		return variable
	}
	return "-" + key
}

// hasValue reports whether a flag has the value that the text stands for: the flag may have been given as well, and then
// goes before the environment.
func (f *settingsFile) hasValue(key, text string) bool {
	flagValue := f.flags.Lookup(key).Value
	current := flagValue.String()
	err := flagValue.Set(text)
	same := err == nil && flagValue.String() == current
	// The value's own text can be set again.
	_ = flagValue.Set(current)
	return same
}

func (f *settingsFile) parse(reader io.Reader, setFlag func(name, value string) error) error {
	f.path = f.flags.Lookup("config").Value.String()
	f.flags.Visit(func(preset *flag.Flag) { f.preset[preset.Name] = true })
	data, err := io.ReadAll(reader)
	if err != nil {
		return err
	}
	var parser unstable.Parser
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		if err := f.setFromNode(data, node, setFlag); err != nil {
			return err
		}
	}
	var syntaxError *toml.DecodeError
	if err := toml.Unmarshal(data, &map[string]any{}); errors.As(err, &syntaxError) {
		line, column := syntaxError.Position()
		return fmt.Errorf("%s:%d:%d: %v", f.path, line, column, syntaxError)
	}
	return parser.Error()
}

func (f *settingsFile) setFromNode(data []byte, node *unstable.Node, setFlag func(name, value string) error) error {
	var keyParts []string
	keyNode := node
	for keys := node.Key(); keys.Next(); {
		keyParts = append(keyParts, string(keys.Node().Data))
		keyNode = keys.Node()
	}
	// The data of a key with escapes is no part of the file, so that only the raw range tells its place.
	line := 1 + bytes.Count(data[:keyNode.Raw.Offset], []byte("\n"))
	key := quoteIfNeeded(strings.Join(keyParts, "."))
	if node.Kind != unstable.KeyValue {
		return fmt.Errorf("%s:%d: %s: tables are not accepted; accepted are keys with values", f.path, line, key)
	}
	knownFlag := f.flags.Lookup(key)
	if knownFlag == nil || key == "config" {
		return fmt.Errorf("%s:%d: %s: unknown key; accepted are %s", f.path, line, key, flagNames(f.flags))
	}
	flagType, _ := flag.UnquoteUsage(knownFlag)
	value, err := settingText(node.Value(), flagType)
	if err == nil {
		err = setFlag(key, value)
	}
	if err != nil {
		return fmt.Errorf("%s:%d: %s: the value is of the wrong type; accepted is %s", f.path, line, key, acceptedValue(flagType))
	}
	if !f.preset[key] {
		f.lines[key] = line
	}
	return nil
}

// settingText returns the text of a value for a flag of the given type. For text it may also be a list of strings.
func settingText(node *unstable.Node, flagType string) (string, error) {
	switch {
	case node.Kind == unstable.Integer && flagType == flagTypeInt:
		return string(node.Data), nil
	case node.Kind == unstable.String && flagType != flagTypeInt:
		return string(node.Data), nil
	case node.Kind != unstable.Array || flagType != flagTypeString:
		return "", errWrongType
	}
	var items []string
	for children := node.Children(); children.Next(); {
		if children.Node().Kind != unstable.String {
			return "", errWrongType
		}
		items = append(items, string(children.Node().Data))
	}
	return strings.Join(items, ","), nil
}

// acceptedValue says what a flag of a type takes in a settings file.
func acceptedValue(flagType string) string {
	switch flagType {
	case flagTypeInt:
		return "a whole number"
	case flagTypeString:
		return "a string, or a list of strings"
	default:
		return "a string with a " + flagType + ", such as \"30s\""
	}
}

// quoteIfNeeded keeps text of a file from breaking the line of an error.
func quoteIfNeeded(text string) string {
	if strconv.Quote(text) == `"`+text+`"` {
		return text
	}
	return strconv.Quote(text)
}

func flagNames(flags *flag.FlagSet) string {
	var names []string
	flags.VisitAll(func(f *flag.Flag) {
		if f.Name != "config" {
			names = append(names, f.Name)
		}
	})
	return strings.Join(names, ", ")
}
