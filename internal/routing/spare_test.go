package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/routing"
)

// Guards against additional attempts at servers that are full, have not reported lately, need a probe, or have got requests since.
func TestSpareNeedsFreeSlots(t *testing.T) {
	is := is.New(t)
	c := &clock{time: time.Unix(1000, 0)}
	p := &routing.Picker{Router: "r", Now: c.now, Rand: func() float64 { return 0.5 }}
	list := plainServers(1)
	p.Update(list)
	r := &routing.Request{Service: list[0].Service, Idempotent: true, Spare: time.Second}
	free := func() int {
		choice, err := p.Pick(r)
		if err != nil {
			return 0
		}
		choice.Done(routing.Cancelled{})
		return choice.Expected.Free
	}
	is.Equal(free(), 0)
	p.RecordLoad(list[0].Name, routing.Load{Running: 2, Slots: 4})
	is.Equal(free(), 2)
	choice, err := p.Pick(r)
	is.NoErr(err)
	is.Equal(free(), 1)
	choice.Done(routing.Cancelled{})
	for _, load := range []routing.Load{{Running: 4, Slots: 4}, {Running: 2, Waiting: 1, Slots: 4}, {Running: 2}} {
		p.RecordLoad(list[0].Name, load)
		is.Equal(free(), 0)
	}
	p.RecordLoad(list[0].Name, routing.Load{Slots: 4})
	c.time = c.time.Add(1100 * time.Millisecond)
	is.Equal(free(), 0)
	choice, err = p.Pick(&routing.Request{Service: list[0].Service, Idempotent: true})
	is.NoErr(err)
	choice.Started()
	choice.Done(routing.Broken{Reset: true})
	c.time = c.time.Add(time.Minute)
	p.RecordLoad(list[0].Name, routing.Load{Slots: 4})
	is.Equal(free(), 0) // Its circuit is open, and a request may probe it.
	choice, err = p.Pick(&routing.Request{Service: list[0].Service, Idempotent: true})
	is.NoErr(err)
	choice.Done(routing.Cancelled{})
}

// Guards against a slow server that looks as fast as before, since the attempts at it are given up before they are measured, and
// against one that counts as failed because of that.
func TestOutpacedServerIsRatedSlower(t *testing.T) {
	is := is.New(t)
	c := &clock{time: time.Unix(1000, 0)}
	p := &routing.Picker{Router: "r", Now: c.now, Rand: func() float64 { return 0.5 }}
	list := plainServers(2)
	p.Update(list)
	run := func(name string, took time.Duration, outcome routing.Outcome) {
		choice, err := p.Pick(&routing.Request{Service: list[0].Service, Idempotent: true, Only: name})
		is.NoErr(err)
		choice.Started()
		c.time = c.time.Add(took)
		if _, finished := outcome.(routing.Finished); finished {
			choice.FirstByte()
		}
		choice.Done(outcome)
	}
	for range 30 {
		run(list[0].Name, 50*time.Millisecond, routing.Finished{Cached: -1})
		run(list[1].Name, 55*time.Millisecond, routing.Finished{Cached: -1})
	}
	picked := func() string {
		choice, err := p.Pick(&routing.Request{Service: list[0].Service, Idempotent: true})
		is.NoErr(err)
		choice.Done(routing.Cancelled{})
		return choice.Server.Name
	}
	is.Equal(picked(), list[0].Name)
	for range 5 {
		run(list[0].Name, 10*time.Millisecond, routing.Outpaced{}) // No longer than usual, which says nothing.
	}
	is.Equal(picked(), list[0].Name)
	for range 5 {
		run(list[0].Name, 200*time.Millisecond, routing.Outpaced{})
	}
	is.Equal(picked(), list[1].Name)
	is.Equal(p.States()[0].Circuit, "closed")
}
