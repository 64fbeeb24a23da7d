package routing_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

// Guards against requests within the pause that a server asked for, because its entry was missing for a moment.
func TestPauseOutlastsMissingEntry(t *testing.T) {
	for name, markedWhileMissing := range map[string]bool{"asked before": false, "asked meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &routing.Picker{Router: "r"}
				list := func(born int64) []routing.Server {
					return []routing.Server{{BackendServer: inventory.BackendServer{Name: "i-0", Service: "s", Address: "a"}, Born: born}}
				}
				pick := func() error {
					choice, err := p.Pick(&routing.Request{Service: "s"})
					if err == nil {
						choice.Done(routing.Cancelled{})
					}
					return err
				}
				p.Update(list(1))
				is.NoErr(pick())
				if !markedWhileMissing {
					p.MarkBusy("i-0", 40*time.Second)
				}
				p.Update(nil)
				if markedWhileMissing {
					p.MarkBusy("i-0", 40*time.Second)
				}
				time.Sleep(2 * time.Second)
				p.Update(list(1))
				var busy *routing.BusyError
				is.True(errors.As(pick(), &busy))
				is.True(busy.After > 37*time.Second)
				time.Sleep(45 * time.Second)
				is.NoErr(pick())
			})
		})
	}
}

// Guards against a pause of an ended process that keeps requests from the next one.
func TestPauseEndsWithItsProcess(t *testing.T) {
	is := is.New(t)
	p := &routing.Picker{Router: "r"}
	server := routing.Server{BackendServer: inventory.BackendServer{Name: "i-0", Service: "s", Address: "a"}, Born: 1}
	p.Update([]routing.Server{server})
	p.MarkBusy("i-0", 40*time.Second)
	p.Update(nil)
	server.Born = 2
	p.Update([]routing.Server{server})
	_, err := p.Pick(&routing.Request{Service: "s"})
	is.NoErr(err)
}
