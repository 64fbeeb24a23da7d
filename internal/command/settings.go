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
	// flagTypeInt and flagTypeString are the names that flag.UnquoteUsage returns for types of flags.
	flagTypeInt    = "int"
	flagTypeString = "string"
)

var (
	// errWrongType is returned by settingText when a value does not fit the flag's type.
	errWrongType = errors.New("wrong type")
)

type (
	// settingsFile parses a settings file in TOML and records the line of each key, so that errors can name it.
	settingsFile struct {
		path   string          // Set by parse.
		flags  *flag.FlagSet   // Flags that the keys of the file name.
		lines  map[string]int  // Line of each key whose value comes from the file, counted from 1.
		preset map[string]bool // Keys that the command line or the environment set before the file was read.
	}
)

// newSettingsFile adds the -config flag to the flag set and returns the parser of the file that the flag names.
func newSettingsFile(flags *flag.FlagSet) *settingsFile {
	flags.String("config", "", "settings file in TOML")
	return &settingsFile{flags: flags, lines: make(map[string]int), preset: make(map[string]bool)}
}

// parseOptions returns the parse options that read settings from the environment and the file. Flags on the command
// line take precedence over environment variables, and these over the file.
func (f *settingsFile) parseOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(environmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(f.parse),
	}
}

// origin describes where the value of a key was set: FILE:LINE: KEY, the environment variable or the flag.
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

// hasValue reports whether the flag's current value is the value that the text stands for. It is another one when the
// flag was also given on the command line, which takes precedence over the environment.
func (f *settingsFile) hasValue(key, text string) bool {
	flagValue := f.flags.Lookup(key).Value
	current := flagValue.String()
	err := flagValue.Set(text)
	same := err == nil && flagValue.String() == current
	// Restore the value; Set accepts the text that String returned.
	_ = flagValue.Set(current)
	return same
}

// parse reads the whole file and calls setFlag for each key. It is the ff.ConfigFileParser of the settings file. Errors
// name the file and the line.
func (f *settingsFile) parse(reader io.Reader, setFlag func(name, value string) error) error {
	f.path = f.flags.Lookup("config").Value.String()
	f.flags.Visit(func(alreadySet *flag.Flag) { f.preset[alreadySet.Name] = true })
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

// setFromNode sets the flag that a top-level expression of the file names and records its line. It returns an error for
// tables, unknown keys and values of the wrong type.
func (f *settingsFile) setFromNode(data []byte, node *unstable.Node, setFlag func(name, value string) error) error {
	var keyParts []string
	keyNode := node
	for keys := node.Key(); keys.Next(); {
		keyParts = append(keyParts, string(keys.Node().Data))
		keyNode = keys.Node()
	}
	// The Data of a key with escapes is a decoded copy, not a part of the file, so only the Raw range gives its offset.
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

// settingText returns the value as text for a flag of the given type. A string flag also takes a list of strings, which
// are joined by commas. Other values give errWrongType.
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

// acceptedValue describes the values that a flag of the given type accepts in a settings file.
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

// quoteIfNeeded quotes text from a file if it holds characters that need escaping, such as a line break, which would
// split an error message over several lines.
func quoteIfNeeded(text string) string {
	if strconv.Quote(text) == `"`+text+`"` {
		return text
	}
	return strconv.Quote(text)
}

// flagNames returns the names of all flags but -config, separated by commas.
func flagNames(flags *flag.FlagSet) string {
	var names []string
	flags.VisitAll(func(f *flag.Flag) {
		if f.Name != "config" {
			names = append(names, f.Name)
		}
	})
	return strings.Join(names, ", ")
}
