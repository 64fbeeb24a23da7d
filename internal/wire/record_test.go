package wire_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"citronslip/internal/wire"
)

const (
	// recordedFile holds a value of each type as the earlier release encoded it, one a line.
	recordedFile = "testdata/01c4ed0.txt"
)

var (
	// record makes TestRecord write recordedFile. To record a release, copy this file into a worktree of it, remove the types
	// that it does not have, and run the test there.
	record = flag.Bool("record", false, "record what this release writes")

	// types are the generated types of rows and messages.
	types = map[string]any{
		"AccountBurn":        new(wire.AccountBurn),
		"Apply":              new(wire.Apply),
		"BackendStatus":      new(wire.BackendStatus),
		"BudgetAnswer":       new(wire.BudgetAnswer),
		"BudgetBurn":         new(wire.BudgetBurn),
		"BudgetCancel":       new(wire.BudgetCancel),
		"BudgetKey":          new(wire.BudgetKey),
		"BudgetReserve":      new(wire.BudgetReserve),
		"BudgetSettle":       new(wire.BudgetSettle),
		"BudgetStatus":       new(wire.BudgetStatus),
		"Burn":               new(wire.Burn),
		"BurnPoint":          new(wire.BurnPoint),
		"ColdstartAnswer":    new(wire.ColdstartAnswer),
		"ColdstartTake":      new(wire.ColdstartTake),
		"ConfigGet":          new(wire.ConfigGet),
		"ConfigHead":         new(wire.ConfigHead),
		"ConfigHistory":      new(wire.ConfigHistory),
		"ConfigPart":         new(wire.ConfigPart),
		"ConfigQuery":        new(wire.ConfigQuery),
		"ConfigRecord":       new(wire.ConfigRecord),
		"ConfigState":        new(wire.ConfigState),
		"ConfigVersion":      new(wire.ConfigVersion),
		"Difference":         new(wire.Difference),
		"Explanation":        new(wire.Explanation),
		"ExplanationAttempt": new(wire.ExplanationAttempt),
		"ExplanationStep":    new(wire.ExplanationStep),
		"Failure":            new(wire.Failure),
		"Finding":            new(wire.Finding),
		"FleetStatus":        new(wire.FleetStatus),
		"Hello":              new(wire.Hello),
		"InventoryFile":      new(wire.InventoryFile),
		"LevelBurn":          new(wire.LevelBurn),
		"Member":             new(wire.Member),
		"Ping":               new(wire.Ping),
		"PrepaidAlive":       new(wire.PrepaidAlive),
		"PrepaidBeyond":      new(wire.PrepaidBeyond),
		"PrepaidEra":         new(wire.PrepaidEra),
		"PrepaidGrant":       new(wire.PrepaidGrant),
		"PrepaidKnown":       new(wire.PrepaidKnown),
		"PrepaidProof":       new(wire.PrepaidProof),
		"PrepaidRouter":      new(wire.PrepaidRouter),
		"PrepaidRow":         new(wire.PrepaidRow),
		"PrepaidSum":         new(wire.PrepaidSum),
		"PrepaidView":        new(wire.PrepaidView),
		"PrepaidWrite":       new(wire.PrepaidWrite),
		"PrepaidWritten":     new(wire.PrepaidWritten),
		"ProxyAnswer":        new(wire.ProxyAnswer),
		"ProxyQuery":         new(wire.ProxyQuery),
		"QuarantineAnswer":   new(wire.QuarantineAnswer),
		"QuarantineDone":     new(wire.QuarantineDone),
		"QuarantineGrant":    new(wire.QuarantineGrant),
		"QuarantineReport":   new(wire.QuarantineReport),
		"QuarantineReserve":  new(wire.QuarantineReserve),
		"RatelimitAnswer":    new(wire.RatelimitAnswer),
		"RatelimitPermit":    new(wire.RatelimitPermit),
		"RatelimitReport":    new(wire.RatelimitReport),
		"RatelimitRow":       new(wire.RatelimitRow),
		"RatelimitTake":      new(wire.RatelimitTake),
		"Refusal":            new(wire.Refusal),
		"RelayAnswer":        new(wire.RelayAnswer),
		"RelayEvacuations":   new(wire.RelayEvacuations),
		"RelayQuery":         new(wire.RelayQuery),
		"RelayRow":           new(wire.RelayRow),
		"RequestExplanation": new(wire.RequestExplanation),
		"RequestQuery":       new(wire.RequestQuery),
		"RequestState":       new(wire.RequestState),
		"ResumeAck":          new(wire.ResumeAck),
		"ResumeAnswer":       new(wire.ResumeAnswer),
		"ResumeQuery":        new(wire.ResumeQuery),
		"ResumeRecord":       new(wire.ResumeRecord),
		"ResumeRecords":      new(wire.ResumeRecords),
		"ResumeRow":          new(wire.ResumeRow),
		"ResumeState":        new(wire.ResumeState),
		"RouterStatus":       new(wire.RouterStatus),
		"Snapshot":           new(wire.Snapshot),
		"SnapshotRow":        new(wire.SnapshotRow),
		"WindowBurn":         new(wire.WindowBurn),
	}
)

// fill sets all fields of a value, so that each is encoded.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(1<<30, 0).UTC()))
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.String:
		v.SetString("text")
	case reflect.Int:
		v.SetInt(1 << 40)
	case reflect.Uint64:
		v.SetUint(1 << 40)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Bool:
		v.SetBool(true)
	default:
		panic(fmt.Sprint("no value for the kind ", v.Kind()))
	}
}

// encodeFilled returns the encoding of a value of a type with all fields set.
func encodeFilled(t *testing.T, name string) []byte {
	t.Helper()
	value := reflect.New(reflect.TypeOf(types[name]).Elem())
	fill(value.Elem())
	data, err := json.Marshal(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Records what this release writes, for the tests of later ones.
func TestRecord(t *testing.T) {
	if !*record {
		t.Skip("records only with -record")
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(types)) {
		fmt.Fprintf(&out, "%s\t%s\n", name, encodeFilled(t, name))
	}
	if err := os.WriteFile(recordedFile, []byte(out.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}
