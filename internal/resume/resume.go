// Package resume keeps a stream at the software version that began it. Backend servers of several software versions may
// serve side by side, and what two of them write does not fit together. A router knows the version of its own streams. While
// several versions serve, it also hands the version of each stream to a few other routers, so that any router can take the
// stream up when the first one is gone.
package resume

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/rendezvous"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// Table is the table with a row for each service, which says which software versions serve.
	Table = "software"
	// copies is the number of other routers that keep the record of a stream. With three, most streams can be taken up
	// after two thirds of the routers were killed at the same moment.
	copies = 3
	// maxHomes is the number of routers that are asked for a record. Those beyond copies keep records in place of others that
	// could not be reached, or that have joined the fleet since.
	maxHomes = copies + 2
	// removedMargin is how long a server may go on serving after its entry was removed. A router that is cut off can begin
	// streams there meanwhile, so that the version counts as serving.
	removedMargin = 10 * time.Second
	// recordMargin is the time for which a record is kept beyond the time in which a stream can be taken up. It covers the
	// difference between what two routers know.
	recordMargin = removedMargin + 5*time.Second
	// findTimeout bounds the questions to other routers about a stream.
	findTimeout = 300 * time.Millisecond
	// copyTimeout bounds the call that hands records to another router.
	copyTimeout = 600 * time.Millisecond
	// maxRecords bounds the memory of the records: about 10 MB.
	maxRecords = 1 << 16
	// maxPending is the number of records that wait for one router. Those beyond it are dropped and counted.
	maxPending = 4096
)

var (
	// ErrUnknown is returned when it is not known which software version began a stream.
	ErrUnknown = errors.New("resume: software version that began the stream not known")
)

type (
	// Tracker knows which software version began a stream. Set the fields before first use.
	Tracker struct {
		Members func() []string // Addresses of the other routers.
		Joined  func() bool     // Whether Members knows the fleet, and not only the addresses in the settings.
		Peers   Peers           // Calls to other routers.
		Store   store.Store     // Holds the rows of Table.
		// Current passes changes that the store has acknowledged by now to Observe and reports whether it could. A server of another
		// version may have begun a stream as soon as its entry was acknowledged.
		Current    func(ctx context.Context) bool
		Leads      func() bool          // Whether this router writes the rows of Table.
		StoreClock func() time.Duration // Clock of the store; zero if unknown.
		Now        func() time.Time
		Logger     *zerolog.Logger
		Metrics    tally.Scope

		mu        sync.Mutex
		histories map[string]*history // By service.
		watchedAt time.Time           // First call of Observe; zero before it.
		rows      rowState
		records   map[uint64]*record // By key of the stream.
		outboxes  map[string]*outbox // By address; there is one while records wait for a router.
	}

	// Stream identifies a stream over the requests with which its caller takes it up.
	Stream struct {
		Account string // Name of the client account; empty on a public route.
		Request string // ID of the request that brought the first event; empty if the caller did not name it.
	}

	// Origin is where a stream began.
	Origin struct {
		Service  string
		Software string // Software version of the backend server.
	}

	// Peers calls other routers at their addresses.
	Peers interface {
		// Keep hands records to a router.
		Keep(ctx context.Context, address string, records wire.ResumeRecords) (wire.ResumeAck, error)
		// Find asks a router which software version began a stream.
		Find(ctx context.Context, address string, query wire.ResumeQuery) (wire.ResumeAnswer, error)
	}
)

// key returns the hash that identifies the stream.
func (s Stream) key() uint64 { return rendezvous.Hash(s.Account, s.Request) }

// count adds one to a counter.
func (t *Tracker) count(name string) { t.Metrics.Counter(name).Inc(1) }
