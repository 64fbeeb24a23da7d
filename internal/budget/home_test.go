package budget_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/pkg/inventory"
)

func ExampleHomeOf() {
	live := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	key := budget.Key{Account: "a", Budget: "main"}
	home := budget.HomeOf(live, key)
	fmt.Println(home == budget.HomesOf(live, key, 2)[0])
	// Output: true
}

// Guards against attempts of other routers that are reserved twice, settled twice or never released when messages are
// repeated, delayed, lost, or arrive after their Cancel.
func TestHomeMessages(t *testing.T) {
	key := budget.Key{Account: "a", Budget: "x"}
	rapid.Check(t, func(t *rapid.T) {
		const total = 100_000
		ledger := &budget.Ledger{Declared: declaredCell(total, key)}
		grantAll(t, ledger, total, key)
		home := &budget.Home{Ledger: ledger, Wait: time.Nanosecond}
		var delayed []func()
		var spent inventory.Tokens
		call := func(_ context.Context, _, method string, params, reply any) error {
			deliver := func() { handleMessage(home, method, params, reply) }
			switch rapid.IntRange(0, 4).Draw(t, "delivery") {
			case 0:
				delayed = append(delayed, deliver)
				return errors.New("timeout")
			case 1:
				deliver()
				return errors.New("answer lost")
			case 2:
				deliver()
			}
			deliver()
			return nil
		}
		var live board.Cell[[]string]
		live.Store(&[]string{"h:1", "r:1"})
		remote := &budget.Remote{Live: &live, Address: "r:1", Instance: "r", Call: call}
		for i := range rapid.IntRange(1, 20).Draw(t, "attempts") {
			reservation, err := remote.Reserve(t.Context(), fmt.Sprint("r.", i), []budget.Key{key}, 100)
			if err != nil {
				continue
			}
			used := inventory.Tokens(rapid.IntRange(0, 100).Draw(t, "used"))
			if rapid.Bool().Draw(t, "dies") {
				spent += 100
				continue
			}
			remote.Settle(reservation, used)
			spent += used
		}
		for remote.Unacknowledged() > 0 {
			remote.Deliver(t.Context())
		}
		for _, deliver := range delayed {
			deliver()
		}
		home.ChargeRequester("r")
		if left := ledger.Available(key); left != total-spent {
			t.Fatalf("left %d, expected %d", left, total-spent)
		}
	})
}

// Guards against hashing that moves budgets between the remaining routers when another one leaves.
func TestHomesStayWhenARouterLeaves(t *testing.T) {
	is := is.New(t)
	live := []string{"a", "b", "c", "d", "e", "f"}
	for i := range 1000 {
		key := budget.Key{Account: "a", Budget: fmt.Sprint(i)}
		home := budget.HomeOf(live, key)
		if home != "f" {
			is.Equal(budget.HomeOf(live[:5], key), home)
		}
	}
}

// handleMessage handles a message at the home router and fills in the reply.
func handleMessage(home *budget.Home, method string, params, reply any) {
	switch p := params.(type) {
	case budget.ReserveParams:
		reserveReply, ok := budget.ReplyOf(home.Reserve(context.Background(), p))
		if out, is := reply.(*budget.ReserveReply); is && ok {
			*out = reserveReply
		}
	case budget.SettleParams:
		home.Settle(p)
	case budget.CancelParams:
		home.Cancel(p)
	}
}
