package routing_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/routing"
)

// Guards against the choice of a server whose software version is another than the required one or unknown, also after
// its process was replaced, and against a required version that hides servers that run it.
func TestRequiredSoftwareVersionIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		p := &routing.Picker{Router: "r"}
		version := rapid.SampledFrom([]string{"", "1", "2"})
		set := servers(rapid.IntRange(1, 40).Draw(t, "servers")) // Above 32 the picker prefers a subset.
		software := make(map[string]string)
		update := func() {
			next := slices.Clone(set)
			for i := range next {
				next[i].Software = software[next[i].Name]
			}
			p.Update(next)
		}
		draw := func() { software[rapid.SampledFrom(set).Draw(t, "server").Name] = version.Draw(t, "software") }
		for i := range set {
			software[set[i].Name] = version.Draw(t, "initial")
		}
		update()
		t.Repeat(map[string]func(*rapid.T){
			"list": func(*rapid.T) {
				draw()
				update()
			},
			"report": func(*rapid.T) {
				draw()
				for name, version := range software {
					p.RecordSoftware(name, version)
				}
			},
			"pick": func(t *rapid.T) {
				required := version.Draw(t, "required")
				request := &routing.Request{
					Service: "plan", Model: "garden", Software: required, Explain: &routing.Explanation{},
				}
				runs := 0
				for _, version := range software {
					if version == required {
						runs++
					}
				}
				is.Equal(required == "" || p.RunsSoftware(request), required == "" || runs > 0)
				choice, err := p.Pick(request)
				if required != "" && runs == 0 {
					is.True(err != nil)
					return
				}
				is.NoErr(err)
				is.True(required == "" || software[choice.Server.Name] == required)
				for _, candidate := range request.Explain.Candidates {
					other := required != "" && software[candidate.Server] != required
					is.Equal(candidate.ExclusionReason == "another software version", other)
				}
				choice.Done(routing.Cancelled{})
				only := &routing.Request{Service: "plan", Software: "1", Only: choice.Server.Name}
				is.Equal(p.RunsSoftware(only), software[choice.Server.Name] == "1")
			},
		})
	})
}

// Guards against a request that waits for a software version of which only a leaving server is left, and against one that
// is given up although a server of its version will accept work again.
func TestRunsSoftwareCountsServersThatStay(t *testing.T) {
	is := is.New(t)
	p := &routing.Picker{Router: "r"}
	set := servers(2)
	set[0].Software, set[1].Software = "1", "2"
	p.Update(set)
	request := &routing.Request{Service: "plan", Model: "garden", Software: "1"}
	choice, err := p.Pick(request)
	is.NoErr(err)
	choice.Done(routing.ConnectionRefused{}) // Opens the circuit.
	_, err = p.Pick(request)
	is.True(err != nil)
	is.True(p.RunsSoftware(request))
	p.MarkLeaving("s0")
	is.True(!p.RunsSoftware(request))
}
