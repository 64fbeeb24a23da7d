package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// notifyStop returns a context that SIGINT and SIGTERM cancel. Further SIGTERMs have no effect, since a platform may
// send several during one graceful shutdown. The second SIGINT has its default action and ends the process, so that a
// person at a terminal can force the end. The returned function ends the handling of the signals.
func notifyStop() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
			case <-interrupts:
				signal.Stop(interrupts)
			case <-done:
				return
			}
			cancel()
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		signal.Stop(interrupts)
		close(done)
		cancel()
	}
}

// ignoreHangup keeps SIGHUP from ending the process, also before and after the time in which the router reads its
// settings again on SIGHUP. The returned function ends that.
func ignoreHangup() func() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return func() { signal.Stop(hangups) }
}
