package resume

import (
	"context"
	"slices"
	"strconv"
	"time"

	"citronslip/internal/wire"
)

type (
	// reply is the answer of another router, or nil if it gave none.
	reply *wire.ResumeAnswer
)

// Find returns where a stream began that a caller takes up. The services are those that may serve it, the chosen one first;
// the window is the time within which it began. Without a record, the chosen service and its only version are returned if one
// version has served in each service throughout the window. Otherwise the error is ErrUnknown.
func (t *Tracker) Find(ctx context.Context, stream Stream, services []string, window time.Duration) (Origin, error) {
	key := stream.key()
	window += removedMargin
	t.mu.Lock()
	if r := t.lookup(key); r != nil && stream.Request != "" {
		t.mu.Unlock()
		t.count("found_here")
		t.fetchServers(ctx, r.origin)
		return r.origin, nil
	}
	states := t.states(services, window)
	t.mu.Unlock()
	current := !hasSeveral(states) && t.Current(ctx)
	t.mu.Lock()
	states = t.states(services, window) // Current may have brought news.
	watched := t.watchedFor(window)
	t.mu.Unlock()
	if watched && isSingle(states, nil) && current {
		return Origin{Service: services[0], Software: states[0].Software}, nil
	}
	query := wire.ResumeQuery{Services: services, Window: int(window.Milliseconds()), Relay: !t.Joined()}
	if stream.Request != "" {
		query.Stream = strconv.FormatUint(key, keyBase)
	}
	homes := newRing(t.Members()).homes(key)
	answers := t.ask(ctx, homes, query)
	if r := recordIn(answers); r != nil {
		t.count("found_elsewhere")
		origin := Origin{Service: r.Service, Software: r.Software}
		t.fetchServers(ctx, origin)
		return origin, nil
	}
	if len(homes) > 0 && !current {
		// Routers that are cut off together know the same. Only if all of the homes answer is it likely that nobody can know
		// of another version, because the store is away from all.
		if len(answers) < len(homes) {
			t.count("unknown")
			return Origin{}, ErrUnknown
		}
		for i := range states {
			states[i].Sure = false
		}
	}
	if !isSingle(states, answers) {
		t.count("unknown")
		return Origin{}, ErrUnknown
	}
	return Origin{Service: services[0], Software: states[0].Software}, nil
}

// fetchServers has news of servers fetched if none of the version that began a stream is known.
func (t *Tracker) fetchServers(ctx context.Context, origin Origin) {
	t.mu.Lock()
	h := t.histories[origin.Service]
	known := h != nil && slices.Contains(h.present, origin.Software)
	t.mu.Unlock()
	if !known {
		t.Current(ctx)
	}
}

// Answer answers the question of another router about a stream.
func (t *Tracker) Answer(ctx context.Context, query wire.ResumeQuery) wire.ResumeAnswer {
	key, err := strconv.ParseUint(query.Stream, keyBase, keyBits)
	window := min(time.Duration(query.Window)*time.Millisecond, maxRecordTime)
	t.mu.Lock()
	answer := wire.ResumeAnswer{States: t.states(query.Services, window)}
	if r := t.lookup(key); r != nil && err == nil {
		encoded := r.encode(key, t.Now())
		answer.Record = &encoded
	}
	t.mu.Unlock()
	if query.Relay && err == nil && answer.Record == nil && t.Joined() {
		query.Relay = false
		answer.Record = recordIn(t.ask(ctx, newRing(t.Members()).homes(key), query))
	}
	return answer
}

// states returns what is known of the services. The caller holds the lock.
func (t *Tracker) states(services []string, window time.Duration) []wire.ResumeState {
	states := make([]wire.ResumeState, 0, len(services))
	for _, service := range services {
		states = append(states, t.state(service, window))
	}
	return states
}

// ask asks routers about a stream. It returns as soon as one has its record, or with the answers of all that answer in time.
func (t *Tracker) ask(ctx context.Context, addresses []string, query wire.ResumeQuery) []wire.ResumeAnswer {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan reply, len(addresses))
	for _, address := range addresses {
		go func() {
			answer, err := t.Peers.Find(ctx, address, query)
			if err != nil {
				replies <- nil
				return
			}
			replies <- &answer
		}()
	}
	var answers []wire.ResumeAnswer
	for range addresses {
		answer := <-replies
		if answer == nil {
			continue
		}
		answers = append(answers, *answer)
		if answer.Record != nil {
			break
		}
	}
	return answers
}

// recordIn returns the record of a stream among the answers, or nil.
func recordIn(answers []wire.ResumeAnswer) *wire.ResumeRecord {
	for _, answer := range answers {
		if answer.Record != nil {
			return answer.Record
		}
	}
	return nil
}

// hasSeveral reports whether this router knows that several versions have served in one of the services.
func hasSeveral(states []wire.ResumeState) bool {
	return slices.ContainsFunc(states, func(s wire.ResumeState) bool { return s.Several })
}

// isSingle reports whether one version has served in each service, by what this router and others know, and whether this
// router knows that of the first service. At least one of them must be sure, and none may know of another version.
func isSingle(states []wire.ResumeState, answers []wire.ResumeAnswer) bool {
	if len(states) == 0 || states[0].Software == "" {
		return false
	}
	for _, own := range states {
		sure := own.Sure
		if own.Several {
			return false
		}
		for _, answer := range answers {
			for _, other := range answer.States {
				if other.Service != own.Service {
					continue
				}
				if other.Several || other.Software != "" && own.Software != "" && other.Software != own.Software {
					return false
				}
				sure = sure || other.Sure
			}
		}
		if !sure {
			return false
		}
	}
	return true
}
