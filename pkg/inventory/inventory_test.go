package inventory_test

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/pkg/inventory"
)

// sampleTOML is an inventory without findings.
const sampleTOML = `
[[place]]
name = "north"
region = "east"
[[place]]
name = "south"
region = "east"
[[host]]
name = "h1"
place = "north"
address = "127.0.0.1:7001"
[[service]]
name = "chat"
kind = "model"
ready = 1
[[service]]
name = "booking"
kind = "plain"
prefix = "/booking"
once = ["POST /booking/visits"]
cost = 10
[[model]]
name = "plan"
service = "chat"
version = "1"
limit = 400
ready = 1
[[backend]]
name = "b1"
service = "chat"
place = "north"
address = "http://127.0.0.1:9001"
models = ["plan"]
[[backend]]
name = "b2"
service = "booking"
place = "south"
address = "http://127.0.0.1:9002"
[[account]]
name = "acme"
keys = ["sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
weigh = "refusal"
[[account]]
name = "bolt"
keys = ["sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"]
[[budget]]
name = "main"
account = "acme"
tokens = 1_000
[[budget.topup]]
name = "june"
tokens = 500
[[budget]]
name = "spare"
account = "acme"
tokens = 50
[[budget]]
name = "own"
account = "bolt"
tokens = 70
[[level]]
name = "quick"
model = "plan"
goal = 0.99
first = "720ms"
[[rule]]
name = "acme-plan"
account = "acme"
model = "plan"
places = ["north"]
budgets = ["main", "spare"]
most = 100
[[rule]]
name = "bolt-denied"
account = "bolt"
service = "booking"
deny = true
`

func parseDocument(t testing.TB, text string) *inventory.Document {
	t.Helper()
	d, err := inventory.Parse("a.toml", []byte(text))
	if err != nil && d == nil {
		t.Fatal(err)
	}
	return d
}

// lineOf returns the number of the first line that contains the substring.
func lineOf(text, substring string) int {
	return 1 + strings.Count(text[:strings.Index(text, substring)], "\n")
}

// Guards against an error in an inventory that is not reported, is reported on the wrong line, or hides other findings.
// Each case replaces the first match of old in sampleTOML by new. The finding is expected on the last line of new, or
// on the line that #! marks.
func TestCheckReportsEachError(t *testing.T) {
	is.New(t).Equal(inventory.Check(parseDocument(t, sampleTOML), inventory.RuntimeState{}), nil)
	cases := []struct{ name, old, new, expected string }{
		{"syntax", `kind = "model"`, `kind = `, "expected"},
		{"unknown key", `region = "east"`, `regoin = "east"`, `unknown key "regoin"`},
		{"unknown table", "[[host]]", "[[hosts]]", `unknown table "hosts"`},
		{"single table", "[[host]]", "[host]", "single table"},
		{"wrong type", `tokens = 1_000`, `tokens = "1000"`, "has the type string"},
		{"wrong list type", `models = ["plan"]`, `models = [1]`, "has the type integer"},
		{"key twice", `tokens = 50`, "tokens = 50\ntokens = 51", "given twice"},
		{"no name", `name = "h1"`, `name = ""`, "a host has no name"},
		{"bad name", `name = "h1"`, `name = "h 1"`, `"h 1" is malformed`},
		{"name twice", `name = "south"`, `name = "north"`, `place "north" is declared twice`},
		{"budget twice", `name = "spare"`, `name = "main"`, `"main" is declared twice`},
		{"topup twice", `tokens = 500`, "tokens = 500\n[[budget.topup]]\nname = \"june\" #!\ntokens = 1", `"june" is declared twice`},
		{"topup name", `name = "june"`, `name = ""`, "top-up of the budget \"main\" is malformed"},
		{"dangling place", `place = "north"`, `place = "west"`, `place "west" is not declared`},
		{"dangling service", `service = "chat"`, `service = "talk"`, `service "talk" is not declared`},
		{"dangling model", `models = ["plan"]`, `models = ["plan", "plot"]`, `model "plot" is not declared`},
		{"budget without account", "[[budget]]\nname = \"spare\"\naccount = \"acme\"", "[[budget]] #!\nname = \"spare\"", "no account is given"},
		{"dangling account", "account = \"acme\"\ntokens = 50", "account = \"nobody\" #!\ntokens = 50", `account "nobody" is not declared`},
		{"negative", `tokens = 50`, `tokens = -50`, "is -50"},
		{"too large", `tokens = 50`, `tokens = 9007199254740992`, "is 9007199254740992"},
		{"beyond 64 bits", `tokens = 50`, `tokens = 99999999999999999999`, "not an integer of 64 bits"},
		{"sum overflows", `tokens = 500`, `tokens = 9007199254740991`, "with its top-ups is"},
		{"zero top-up", `tokens = 500`, `tokens = 0`, "is 0"},
		{"no limit", `limit = 400`, `limit = 0`, `limit of the model "plan" is 0`},
		{"cost", `cost = 10`, `cost = -1`, "is -1"},
		{"host address", `"127.0.0.1:7001"`, `"localhost"`, "cannot be parsed"},
		{"backend address", `"http://127.0.0.1:9002"`, `"127.0.0.1:9002"`, "cannot be parsed"},
		{"address twice", `"http://127.0.0.1:9002"`, `"http://127.0.0.1:9001"`, "is also that of"},
		{"router's address", `"http://127.0.0.1:9002"`, `"http://127.0.0.1:7001"`, "is also that of the host"},
		{"no digest", `"sha256:aaaa`, `"secret:aaaa`, "not a sha256 digest"},
		{"shared key", strings.Repeat("b", 64), strings.Repeat("A", 64), `also one of the account "acme"`},
		{"model not ready", "limit = 400\nready = 1", "limit = 400\nready = 2", "at least 2 ready servers, and 1"},
		{"service not ready", "kind = \"model\"\nready = 1", "kind = \"model\"\nready = -1", "at least -1 ready"},
		{"kind", `kind = "model"`, `kind = "engine"`, `is "engine"`},
		{"role", `models = ["plan"]`, "models = [\"plan\"]\nrole = \"spare\"", `role of the backend server "b1"`},
		{"weigh", `weigh = "refusal"`, `weigh = "both"`, `is "both"`},
		{"weight", `weigh = "refusal"`, `weight = -1`, "is -1"},
		{"version", `version = "1"`, `version = ""`, "has no version"},
		{"no prefix", `prefix = "/booking"`, `prefix = "booking"`, "is malformed"},
		{"shadow", `prefix = "/booking"`, `prefix = "/v1/booking"`, "shadows the model API"},
		{"prefix twice", `[[model]]`, "[[service]]\nname = \"other\"\nkind = \"plain\"\nprefix = \"/booking\" #!\n[[model]]", "is also that of the service"},
		{"once", `"POST /booking/visits"`, `"POST /visits"`, "matches no call"},
		{"prefix of models", "kind = \"model\"", "kind = \"model\"\nprefix = \"/chat\"", "of model engines has a prefix"},
		{"model of plain service", "service = \"chat\"\nversion", "service = \"booking\" #!\nversion", "is a plain service"},
		{"foreign model", `service = "booking"`, "service = \"booking\"\nmodels = [\"plan\"]", `the model "plan" of the service "chat"`},
		{"goal", `goal = 0.99`, `goal = 1`, "goal of the level"},
		{"duration", `first = "720ms"`, `first = "-1s"`, `is "-1s"`},
		{"unknown place", `places = ["north"]`, `places = ["west"]`, `place "west" is not declared`},
		{"useless places", `places = ["north"]`, `places = ["south"]`, "no backend server in the places"},
		{"unknown budget", `["main", "spare"]`, `["main", "gone"]`, `does not have`},
		{"foreign budget", `["main", "spare"]`, `["main", "own"]`, `it is one of the account "bolt"`},
		{"budget for all", `deny = true`, "deny = true\n[[rule]]\nname = \"all\"\nbudgets = [\"main\"]", `"bolt" does not have`},
		{"rule's model", `model = "plan"` + "\nplaces", "model = \"plan\" #!\nservice = \"booking\"\nplaces", "can never match"},
		{"shadowed rule", `deny = true`, "deny = true\n[[rule]]\nname = \"late\" #!\naccount = \"acme\"\nmodel = \"plan\"", `earlier rule "acme-plan"`},
		{"wide rule", `deny = true`, "deny = true\n[[rule]]\nname = \"all\"\n[[rule]]\nname = \"late\" #!\nservice = \"chat\"", `earlier rule "all"`},
		{"topup precedes", "[[place]]", "[[budget.topup]] #!\nname = \"early\"\n[[place]]", "precedes every budget"},
		{"wrong bool", `deny = true`, `deny = 1`, "has the type integer"},
		{"wrong number", `goal = 0.99`, `goal = "0.99"`, "has the type string"},
		{"wrong array", `places = ["north"]`, `places = "north"`, "has the type string"},
		{"bad model name", `name = "plan"`, `name = "plan x"`, `the model name "plan x" is malformed`},
		{"same key twice", `"sha256:` + strings.Repeat("a", 64) + `"`, `"sha256:` + strings.Repeat("a", 64) + `", "sha256:` + strings.Repeat("a", 64) + `"`, "the same key twice"},
		{"priority", `weigh = "refusal"`, `priority = 101`, "is 101"},
		{"overhead", `limit = 400`, "limit = 400\noverhead = -1", "is -1"},
		{"adapter twice", `limit = 400`, "limit = 400\nadapters = [\"a\", \"a\"]", `"a" is listed twice`},
		{"model twice", `models = ["plan"]`, `models = ["plan", "plan"]`, `"plan" is listed twice`},
		{"place twice", `places = ["north"]`, `places = ["north", "north"]`, `"north" is listed twice`},
		{"debit twice", `["main", "spare"]`, `["main", "main"]`, `"main" is listed twice`},
		{"level's service", `goal = 0.99`, "goal = 0.99\nservice = \"talk\"", `service "talk" is not declared`},
		{"level's model", "model = \"plan\"\ngoal", "model = \"plot\" #!\ngoal", `model "plot" is not declared`},
		{"level's account", `goal = 0.99`, "goal = 0.99\naccount = \"nobody\"", `account "nobody" is not declared`},
		{"level never", "model = \"plan\"\ngoal", "model = \"plan\" #!\nservice = \"booking\"\ngoal", "can never match"},
		{"gap", `first = "720ms"`, `gap = "73"`, `is "73"`},
		{"rule's service", `service = "booking"` + "\ndeny", "service = \"talk\" #!\ndeny", `service "talk" is not declared`},
		{"rule's account", `account = "bolt"` + "\nservice", "account = \"nobody\" #!\nservice", `account "nobody" is not declared`},
		{"rule's name", `name = "bolt-denied"`, `name = "acme-plan"`, `rule "acme-plan" is declared twice`},
		{"level's name", `name = "quick"`, `name = ""`, "a level has no name"},
		{"most", `most = 100`, `most = -1`, "is -1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Count(sampleTOML, c.old) > 0)
			text := strings.Replace(sampleTOML, c.old, c.new, 1) + "[[host]]\nname = \"last\"\naddress = \"127.0.0.1:1\"\n"
			markOffset := strings.Index(c.new, "#!")
			if markOffset < 0 {
				markOffset = len(c.new)
			}
			expectedLine := 1 + strings.Count(text[:strings.Index(sampleTOML, c.old)+markOffset], "\n")
			var findings []string
			found := false
			for _, f := range inventory.Check(parseDocument(t, text), inventory.RuntimeState{}) {
				found = found || (strings.Contains(f.Text, c.expected) && f.Line == expectedLine)
				is.True(f.File == "a.toml" && f.Fix != "" && f.Accepted != "")
				findings = append(findings, f.String())
			}
			if !found {
				t.Fatalf("no finding %q on line %d among:\n%s", c.expected, expectedLine, strings.Join(findings, "\n"))
			}
			if c.name != "syntax" && !strings.Contains(strings.Join(findings, "\n"), "no place is given") {
				t.Fatalf("the finding on the missing place of the last host is hidden:\n%s", strings.Join(findings, "\n"))
			}
		})
	}
}

// Guards against lowering a budget below what routers have spent or may still spend.
func TestCheckRejectsBudgetsBelowUsage(t *testing.T) {
	is := is.New(t)
	usage := func(granted, spent inventory.Tokens) inventory.RuntimeState {
		id := inventory.BudgetID{Account: "acme", Budget: "main"}
		return inventory.RuntimeState{Budgets: map[inventory.BudgetID]inventory.BudgetUsage{id: {Granted: granted, Spent: spent}}}
	}
	is.Equal(len(inventory.Check(parseDocument(t, sampleTOML), usage(1000, 500))), 0)
	findings := inventory.Check(parseDocument(t, sampleTOML), usage(1001, 500))
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Line, lineOf(sampleTOML, "tokens = 1_000"))
	withoutMain := strings.Replace(sampleTOML, `name = "main"`, `name = "renamed"`, 1)
	withoutMain = strings.Replace(withoutMain, `"main", `, "", 1)
	is.Equal(len(inventory.Check(parseDocument(t, withoutMain), usage(1, 0))), 1)
	is.Equal(len(inventory.Check(parseDocument(t, withoutMain), usage(0, 9))), 0)
}

// Guards against a decision that differs from that of a linear scan of all rules in order.
func TestDecideTakesFirstMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inv := parseSample()
		inv.Rules = nil
		pick := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
		for i := range rapid.IntRange(0, 6).Draw(t, "rules") {
			inv.Rules = append(inv.Rules, inventory.Rule{
				Name:    fmt.Sprint("r", i),
				Account: pick("account", "", "acme", "bolt"),
				Model:   pick("model", "", "plan"),
				Service: pick("service", "", "chat", "booking"),
				Deny:    rapid.Bool().Draw(t, "deny"),
			})
		}
		q := inventory.Query{Account: pick("asks", "acme", "bolt")}
		service := "booking"
		if rapid.Bool().Draw(t, "asks for the model") {
			q.Model, service = "plan", "chat"
		} else {
			q.Service = service
		}
		var expected *inventory.Rule
		for i, r := range inv.Rules {
			match := (r.Account == "" || r.Account == q.Account) && (r.Model == "" || r.Model == q.Model) &&
				(r.Service == "" || r.Service == service)
			if match && expected == nil {
				expected = &inv.Rules[i]
			}
		}
		d, err := inventory.NewIndex(inv).Decide(q)
		if expected != nil && (d.Rule != expected.Name || errors.Is(err, inventory.ErrDenied) != expected.Deny) {
			t.Fatalf("got decision %+v, error %v; expected rule %+v", d, err, expected)
		}
		if expected == nil && (err != nil || d.Rule != "" || len(d.Budgets) != 1) {
			t.Fatalf("got decision %+v, error %v; expected no rule and one budget", d, err)
		}
	})
}

func parseSample() *inventory.Inventory {
	d, err := inventory.Parse("a.toml", []byte(sampleTOML))
	if err != nil {
		panic(err)
	}
	return &d.Inventory
}

// Guards against a wrong debit or output limit, and against a caller that spends another account's budget.
func TestDecideBudgets(t *testing.T) {
	is := is.New(t)
	x := inventory.NewIndex(parseSample())
	d, err := x.Decide(inventory.Query{Account: "acme", Model: "plan", Budget: "spare"})
	is.NoErr(err)
	is.Equal(d.Budgets, []string{"main", "spare"})
	is.Equal(d.Most, inventory.Tokens(100))
	is.True(d.AllowsPlace("north") && !d.AllowsPlace("south"))
	d, err = x.Decide(inventory.Query{Account: "acme", Service: "booking", Budget: "spare"})
	is.NoErr(err)
	is.Equal(d.Budgets, []string{"spare"})
	is.Equal(d.Cost, inventory.Tokens(10))
	d, err = x.Decide(inventory.Query{Account: "acme", Service: "booking"})
	is.NoErr(err)
	is.Equal(d.Budgets, []string{"main"})
	_, err = x.Decide(inventory.Query{Account: "acme", Service: "booking", Budget: "own"})
	is.True(errors.Is(err, inventory.ErrNoSuchBudget))
	_, err = x.Decide(inventory.Query{Account: "bolt", Service: "booking"})
	is.True(errors.Is(err, inventory.ErrDenied))
	_, err = x.Decide(inventory.Query{Account: "bolt", Model: "plot"})
	is.True(errors.Is(err, inventory.ErrNotFound))
}

// Guards against a key that authenticates another account, and against a digest accepted as a key.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	inv := parseSample()
	inv.Accounts[1].Keys = []string{inventory.DigestKey("open sesame")}
	x := inventory.NewIndex(inv)
	is.Equal(x.Authenticate("open sesame").Name, "bolt")
	is.True(x.Authenticate("open") == nil)
	is.True(x.Authenticate(inv.Accounts[1].Keys[0]) == nil)
}

// Guards against a look-up whose result differs from that of a linear scan.
func TestBudgetLookups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b", "a/b", "ab", ""})
		var inv inventory.Inventory
		for range rapid.IntRange(0, 12).Draw(t, "budgets") {
			inv.Budgets = append(inv.Budgets, inventory.Budget{Name: name.Draw(t, "budget"), Account: name.Draw(t, "account")})
		}
		x := inventory.NewIndex(&inv)
		account, budget := name.Draw(t, "asked account"), name.Draw(t, "asked budget")
		var expected *inventory.Budget
		for i := len(inv.Budgets) - 1; i >= 0; i-- {
			if b := &inv.Budgets[i]; b.Account == account && b.Name == budget {
				expected = b
			}
		}
		if x.Budget(account, budget) != expected {
			t.Fatalf("wrong budget for account %q, budget %q", account, budget)
		}
		for _, b := range x.Budgets(account) {
			if b.Account != account || x.Budget(account, b.Name) != b {
				t.Fatalf("budget %v does not belong to the account %q or is not found by name", b, account)
			}
		}
	})
}

// Guards against repeating a call whose path, or a path above it, is declared as non-repeatable.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	s := inventory.Service{Prefix: "/shop", NonRepeatable: []string{"POST /shop/orders"}}
	is.True(!s.Repeatable("POST", "/shop/orders") && !s.Repeatable("POST", "/shop/orders/7"))
	is.True(s.Repeatable("GET", "/shop/orders") && s.Repeatable("POST", "/shop/orderbook"))
}

// Guards against an encoding that differs for equal inventories or loses parts of them.
func TestEncodeRoundTrip(t *testing.T) {
	is := is.New(t)
	inv := parseSample()
	data, err := inventory.Encode(inv)
	is.NoErr(err)
	decoded, err := inventory.Decode(data)
	is.NoErr(err)
	is.Equal(len(inventory.Diff(inv, decoded)), 0)
	reencoded, err := inventory.Encode(decoded)
	is.NoErr(err)
	is.Equal(string(reencoded), string(data))
	_, err = inventory.Decode([]byte(`{"places":[]}`))
	is.True(err != nil)
}

// Guards against a change that Diff misses, and against a difference between inventories with equal encodings.
func TestDiffAgreesWithEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, changed := parseSample(), parseSample()
		index := rapid.IntRange(0, 1).Draw(t, "at")
		switch rapid.IntRange(0, 8).Draw(t, "edit") {
		case 0:
			changed.Budgets[index].Tokens = inventory.Tokens(rapid.IntRange(49, 51).Draw(t, "tokens"))
		case 1:
			changed.Budgets[index].TopUps = append(changed.Budgets[index].TopUps, inventory.TopUp{Name: "july", Tokens: 1})
		case 2:
			changed.Rules[0], changed.Rules[index] = changed.Rules[index], changed.Rules[0]
		case 3:
			changed.Places = changed.Places[index:]
		case 4:
			changed.Accounts[index].Keys = append([]string{}, changed.Accounts[index].Keys[:index]...)
		case 5:
			changed.Levels[0].Goal = rapid.Float64Range(0.98, 0.99).Draw(t, "goal")
		case 6:
			changed.Backends[index].EnforcesFencing = rapid.Bool().Draw(t, "fences")
		case 7:
			changed.Rules[index].Places = append([]string{}, changed.Rules[index].Places...)
		case 8:
			changed.Budgets[0], changed.Budgets[1+index] = changed.Budgets[1+index], changed.Budgets[0]
		}
		before, err := inventory.Encode(old)
		if err != nil {
			t.Fatal(err)
		}
		after, err := inventory.Encode(changed)
		if err != nil {
			t.Fatal(err)
		}
		same := string(before) == string(after)
		if changes := inventory.Diff(old, changed); same != (len(changes) == 0) {
			t.Fatalf("encodings equal: %v, but changes: %v", same, changes)
		}
	})
}

// Guards against lost elements and wrong positions when an inventory is split into files.
func TestParseFilesJoinsTables(t *testing.T) {
	is := is.New(t)
	split := strings.Index(sampleTOML, "[[account]]")
	d, err := inventory.ParseFiles([]inventory.File{
		{Name: "a.toml", Text: []byte(sampleTOML[:split])},
		{Name: "b.toml", Text: []byte(sampleTOML[split:] + "[[host]]\nname = \"h1\"\nplace = \"north\"\naddress = \"127.0.0.1:2\"\n")},
	})
	is.NoErr(err)
	findings := inventory.Check(d, inventory.RuntimeState{})
	is.Equal(len(findings), 1)
	is.Equal(findings[0].File, "b.toml")
	is.True(strings.Contains(findings[0].Fix, fmt.Sprint("a.toml:", lineOf(sampleTOML, `name = "h1"`))))
}

// largeInventory returns an inventory of 1,700 accounts and, unless the race detector is on, 320,000 budgets.
func largeInventory() []byte {
	var b strings.Builder
	for i := range 1700 {
		fmt.Fprintf(&b, "[[account]]\nname = \"account-%d\"\nkeys = [\"sha256:%064x\"]\n", i, i)
	}
	for i := range budgetCount {
		fmt.Fprintf(&b, "[[budget]]\nname = \"budget-%d\"\naccount = \"account-%d\"\ntokens = %d\n", i, i%1700, 1000+i)
	}
	return []byte(b.String())
}

// Guards against parsing and checking that take more than 3 s or allocate more than 512 MB at the target size.
func TestCheckAtTargetSize(t *testing.T) {
	is := is.New(t)
	data := largeInventory()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	d, err := inventory.Parse("large.toml", data)
	is.NoErr(err)
	is.Equal(len(inventory.Check(d, inventory.RuntimeState{})), 0)
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	t.Logf("parsed and checked in %v, %d MB allocated", elapsed, (after.TotalAlloc-before.TotalAlloc)>>20)
	is.True(elapsed < 3*time.Second)
	is.True(after.TotalAlloc-before.TotalAlloc < 512<<20)
	is.Equal(len(d.Inventory.Budgets), budgetCount)
}

func BenchmarkCheck(b *testing.B) {
	data := largeInventory()
	b.ReportAllocs()
	for b.Loop() {
		d, err := inventory.Parse("large.toml", data)
		if err != nil || len(inventory.Check(d, inventory.RuntimeState{})) > 0 {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	x := inventory.NewIndex(parseSample())
	b.ReportAllocs()
	for b.Loop() {
		_, err := x.Decide(inventory.Query{Account: "acme", Service: "booking"})
		if err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against input that crashes the parser or Check, and against an inventory without findings that changes when it
// is encoded and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleTOML))
	f.Add([]byte("budget = [{name = \"a\", topup = [{name = \"t\", tokens = 0x10}]}]\n"))
	f.Add([]byte("[[budget.topup]]\n[budget]\na.b = 1\n\"\" = 2\nname = '''\n'''\n"))
	f.Add([]byte("[[level]]\ngoal = nan\nfirst = \"\\u0000\"\n[[level]]\ngoal = 1_0.5e-1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := inventory.Parse("fuzz.toml", data)
		findings := inventory.Check(d, inventory.RuntimeState{})
		if err != nil && len(findings) == 0 {
			t.Fatal("syntax error without a finding")
		}
		if len(findings) > 0 {
			return
		}
		object, err := inventory.Encode(&d.Inventory)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := inventory.Decode(object)
		if err != nil || len(inventory.Diff(&d.Inventory, decoded)) > 0 {
			t.Fatal("inventory changed by encoding and decoding:", err)
		}
	})
}

func ExampleDiff() {
	d, _ := inventory.Parse("a.toml", []byte(sampleTOML))
	old := d.Inventory
	d, _ = inventory.Parse("a.toml", []byte(strings.Replace(sampleTOML, "tokens = 50\n", "tokens = 60\n", 1)+"[[place]]\nname = \"west\"\n"))
	for _, change := range inventory.Diff(&old, &d.Inventory) {
		fmt.Fprintln(os.Stdout, change)
	}
	// Output:
	// + place west
	// ~ budget acme/spare tokens: 50 -> 60
}
