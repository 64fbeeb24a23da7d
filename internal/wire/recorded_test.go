package wire_test

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/harness"
)

// Guards against a row or message of an earlier release that is not understood, or of which a field is lost.
func TestRecordedValuesAreUnderstood(t *testing.T) {
	data, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(types[name] != nil) // The type was removed or renamed.
			decoded := reflect.New(reflect.TypeOf(types[name]).Elem()).Interface()
			is.NoErr(json.Unmarshal([]byte(value), decoded))
			again, err := json.Marshal(decoded)
			is.NoErr(err)
			is.NoErr(harness.Keeps([]byte(value), again))
		})
	}
}
