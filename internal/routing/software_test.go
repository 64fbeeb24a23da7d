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
			},
		})
	})
}
