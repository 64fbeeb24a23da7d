package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// group is what requests ask for. An empty version accepts every version.
	group struct {
		service string
		model   string
		version string
		adapter string
	}

	// members are the servers of a group.
	members struct {
		all    []*server
		subset []*server // The servers that this router uses, of those that are not leaving.
	}
)

// regroup rebuilds the groups after a change of the set.
func (p *Picker) regroup() {
	p.groups = make(map[group]*members)
	for _, s := range p.slots {
		if s == nil {
			continue
		}
		if len(s.conf.Holds) == 0 {
			p.join(group{service: s.conf.Service}, s)
		}
		for _, held := range s.conf.Holds {
			p.hold(held, s)
		}
	}
	for _, m := range p.groups {
		m.subset = p.subset(m.all)
	}
}

// hold adds the server to the groups of one held model, with and without version and adapter.
func (p *Picker) hold(held Held, s *server) {
	for _, version := range both(held.Version) {
		p.join(group{s.conf.Service, held.Model, version, ""}, s)
		for _, adapter := range held.Adapters {
			p.join(group{s.conf.Service, held.Model, version, adapter}, s)
		}
	}
}

func (p *Picker) join(g group, s *server) {
	m := p.groups[g]
	if m == nil {
		m = &members{}
		p.groups[g] = m
	}
	// Servers join one after the other, so only the last one can be the same.
	if len(m.all) == 0 || m.all[len(m.all)-1] != s {
		m.all = append(m.all, s)
	}
}

// subset returns the servers with the highest rendezvous hashes of router and server. When servers come or go, only
// their own places in the subsets change.
func (p *Picker) subset(all []*server) []*server {
	most := p.Subset
	// Leaving out a few servers of a small group would save little and load the others unevenly.
	if len(all) <= 2*most {
		return all
	}
	type ranked struct {
		hash   uint64
		server *server
	}
	var ranks []ranked
	for _, s := range all {
		if s.conf.Leaving || s.leaving {
			continue
		}
		ranks = append(ranks, ranked{xxhash.Sum64String(p.Router + "\x00" + s.conf.Name), s})
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		if a.hash > b.hash {
			return -1
		}
		return 1
	})
	result := make([]*server, 0, most)
	for _, r := range ranks[:min(most, len(ranks))] {
		result = append(result, r.server)
	}
	return result
}

// both returns the empty version and the version itself.
func both(version string) []string {
	if version == "" {
		return []string{""}
	}
	return []string{"", version}
}
