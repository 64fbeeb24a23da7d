package admission_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/admission"
)

type (
	// clock is a clock that the test sets.
	clock struct {
		time time.Time
	}
)

func (c *clock) now() time.Time { return c.time }

func ExampleQueue_Acquire() {
	var queue admission.Queue
	slot, err := queue.Acquire(context.Background(), admission.Request{Account: "booking", Cost: 500})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer slot.Release(admission.Result{Cost: 480})
	fmt.Println(queue.Stats().Running)
	// Output: 1
}

// Guards against an account that gets more than its weighted share while others wait, and against starvation. Over any
// interval in which two accounts wait all the time, their granted cost over weight differs by at most the sum of the
// largest cost over each weight and the head starts of both.
func TestAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const maxCost, lead = 20, 2
		c := &clock{time: time.Unix(1_000_000, 0)}
		q := &admission.Queue{
			Initial: 3, Least: 3, Most: 3, Length: 1 << 20, MaxWait: time.Hour, Lead: lead, Now: c.now,
		}
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		priorities := rapid.SliceOfN(rapid.IntRange(0, 2), len(weights), len(weights)).Draw(t, "priorities")
		granted := make([]float64, len(weights))
		waiting := make([]int, len(weights))
		since := make([][]float64, len(weights)) // since[i] copies granted when account i begins to wait.
		var slots []*admission.Slot
		submit := func(i int, cost int64) {
			if waiting[i] == 0 {
				since[i] = append([]float64(nil), granted...)
			}
			waiting[i]++
			request := admission.Request{
				Account: fmt.Sprint(i), Weight: weights[i], Priority: priorities[i], Cost: cost,
			}
			q.Submit(request, func(slot *admission.Slot, err error) {
				is.NoErr(err)
				waiting[i]--
				granted[i] += float64(cost)
				slots = append(slots, slot)
			})
		}
		check := func(t *rapid.T) {
			for i := range weights {
				for k := range weights {
					if waiting[i] == 0 || waiting[k] == 0 {
						continue
					}
					// The interval in which both wait began when the later one of them began to wait.
					from := since[i]
					if since[k][i]+since[k][k] > from[i]+from[k] {
						from = since[k]
					}
					wi, wk := float64(weights[i]), float64(weights[k])
					gap := (granted[i]-from[i])/wi - (granted[k]-from[k])/wk
					// Either account may have used its head start before the interval or may use it within.
					headStarts := float64(priorities[i]+priorities[k]) * lead * maxCost
					if gap > maxCost/wi+maxCost/wk+headStarts+1e-6 {
						t.Fatalf("accounts %d and %d differ by %v", i, k, gap)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				i := rapid.IntRange(0, len(weights)-1).Draw(t, "account")
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					submit(i, rapid.Int64Range(1, maxCost).Draw(t, "cost"))
				}
			},
			"release": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					if len(slots) == 0 {
						return
					}
					slot := slots[0]
					slots = slots[1:]
					slot.Release(admission.Result{})
				}
			},
			"tick": func(*rapid.T) {
				c.time = c.time.Add(100 * time.Millisecond)
				q.Tick()
			},
			"": check,
		})
		for len(slots) > 0 {
			slot := slots[0]
			slots = slots[1:]
			slot.Release(admission.Result{})
		}
		for i := range waiting {
			is.Equal(waiting[i], 0)
		}
	})
}

// Guards against a slot that is lost when a caller gives up, even at the moment at which the slot is granted.
func TestCancelledRequestsReleaseSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		maxWait := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 60).Draw(rt, "maxWait")
		hold := rapid.IntRange(1, 20).Draw(rt, "hold")
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := &admission.Queue{Initial: 2, Least: 2, Most: 2}
			var group sync.WaitGroup
			for i, wait := range maxWait {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(wait)*time.Millisecond)
					defer cancel()
					slot, err := q.Acquire(ctx, admission.Request{Account: fmt.Sprint(i % 3)})
					if err != nil {
						is.True(errors.Is(err, admission.ErrCancelled))
						return
					}
					time.Sleep(time.Duration(hold) * time.Millisecond)
					slot.Release(admission.Result{})
					slot.Release(admission.Result{})
				})
			}
			group.Wait()
			is.Equal(q.Stats().Running, 0)
			is.Equal(q.Stats().Queued, 0)
		})
	})
}

// Guards against requests that stay queued although they cannot meet their deadlines, against refusals during a brief
// loss of capacity, and against a flood from one account that causes refusals of another account's requests.
func TestRefusalsOfUnmeetableDeadlines(t *testing.T) {
	is := is.New(t)
	c := &clock{time: time.Unix(1_000_000, 0)}
	q := &admission.Queue{Initial: 10, Least: 10, Most: 10, Now: c.now}
	begin := c.time
	refused := make(map[string]int)
	var slots []*admission.Slot
	submit := func(account string, maxWait time.Duration) {
		at := c.time
		q.Submit(admission.Request{Account: account, Deadline: at.Add(maxWait)}, func(slot *admission.Slot, err error) {
			var refusal *admission.Refusal
			if errors.As(err, &refusal) {
				refused[account]++
				// A request is refused well before its deadline, with a time to retry after.
				is.True(c.time.Sub(at) <= maxWait*9/10)
				is.True(refusal.Retry > 0)
				return
			}
			is.NoErr(err)
			slots = append(slots, slot)
		})
	}
	run := func(until time.Duration, large int, stalled bool) {
		for c.time.Sub(begin) < until {
			c.time = c.time.Add(100 * time.Millisecond)
			// Ten slots of 100 ms each serve 100 requests a second.
			held := slots
			slots = nil
			if stalled {
				slots = held
				held = nil
			}
			for _, slot := range held {
				slot.Release(admission.Result{})
			}
			for range large {
				submit("large", 10*time.Second)
			}
			submit("small", 10*time.Second)
			q.Tick()
		}
	}
	run(10*time.Second, 7, false)
	run(12*time.Second, 7, true) // Two seconds without any capacity.
	run(20*time.Second, 7, false)
	is.Equal(refused["large"]+refused["small"], 0)
	run(60*time.Second, 30, false) // Three times the capacity from one account.
	is.True(refused["large"] > 5000)
	is.Equal(refused["small"], 0)
	run(100*time.Second, 0, true) // All capacity is lost: every queued request is refused in time.
	is.Equal(q.Stats().QueuedByAccount["large"], 0)
}

// Guards against a queue that grows without bound, and against a full queue that refuses requests of the account with
// fewer queued requests.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	q := &admission.Queue{Initial: 4, Least: 4, Most: 4, Length: 50}
	refused := make(map[string]int)
	submit := func(account string) {
		q.Submit(admission.Request{Account: account}, func(_ *admission.Slot, err error) {
			if err != nil {
				refused[account]++
			}
		})
	}
	for range 1000 {
		submit("large")
	}
	for range 20 {
		submit("small")
	}
	is.Equal(q.Stats().Queued, 50)
	is.Equal(refused["small"], 0)
	is.Equal(refused["large"], 1000-4-30)
}

// BenchmarkTick measures the periodic work with a full queue of many accounts, which must take only a small part of a
// core.
func BenchmarkTick(b *testing.B) {
	c := &clock{time: time.Unix(1_000_000, 0)}
	q := &admission.Queue{Initial: 4, Least: 4, Most: 4, Now: c.now}
	for i := range 8192 {
		q.Submit(admission.Request{Account: fmt.Sprint(i % 1700)}, func(*admission.Slot, error) {})
	}
	for b.Loop() {
		q.Tick()
	}
}
