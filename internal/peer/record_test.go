package peer_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

const (
	// recordedFile holds the bytes of the first call of each method on a connection, as the earlier release sent them: the
	// method, the request and the answer in a line.
	recordedFile = "testdata/01c4ed0.txt"
	// refusalFile holds its answer to unknownCall.
	refusalFile = "testdata/01c4ed0-refusal.txt"
	// unknownCall is a call of a method that no release knows, the first one on a connection.
	unknownCall = `{"id":0,"jsonrpc":"2.0","method":"future.method","params":{"field":1},"future":{}}`
)

var (
	// record makes TestRecord write recordedFile. To record a release, copy this file into a worktree of it, and run the test
	// there.
	record = flag.Bool("record", false, "record what this release sends")

	// exchanges are the calls between routers that the earlier release has, by method.
	exchanges = map[string]exchange{
		peer.MethodHello:             newExchange((*peer.Client).Hello, func(m *peer.Methods) *peer.Handler[wire.Hello, wire.Hello] { return &m.Hello }),
		peer.MethodPing:              newExchange((*peer.Client).Ping, func(m *peer.Methods) *peer.Handler[wire.Ping, wire.Ping] { return &m.Ping }),
		peer.MethodConfigGet:         newExchange((*peer.Client).GetConfigPart, func(m *peer.Methods) *peer.Handler[wire.ConfigGet, wire.ConfigPart] { return &m.Get }),
		peer.MethodConfigState:       newExchange((*peer.Client).GetConfigState, func(m *peer.Methods) *peer.Handler[wire.ConfigQuery, wire.ConfigState] { return &m.Version }),
		peer.MethodBudgetReserve:     newExchange((*peer.Client).ReserveBudget, func(m *peer.Methods) *peer.Handler[wire.BudgetReserve, wire.BudgetAnswer] { return &m.Reserve }),
		peer.MethodBudgetSettle:      newExchange((*peer.Client).SettleBudget, func(m *peer.Methods) *peer.Handler[wire.BudgetSettle, wire.BudgetAnswer] { return &m.Settle }),
		peer.MethodBudgetCancel:      newExchange((*peer.Client).CancelBudget, func(m *peer.Methods) *peer.Handler[wire.BudgetCancel, wire.BudgetAnswer] { return &m.Cancel }),
		peer.MethodBudgetKnown:       newExchange((*peer.Client).TellBudget, func(m *peer.Methods) *peer.Handler[wire.PrepaidKnown, wire.BudgetAnswer] { return &m.Known }),
		peer.MethodRequestState:      newExchange((*peer.Client).GetRequestState, func(m *peer.Methods) *peer.Handler[wire.RequestQuery, wire.RequestState] { return &m.State }),
		peer.MethodRequestExplain:    newExchange((*peer.Client).ExplainRequest, func(m *peer.Methods) *peer.Handler[wire.RequestQuery, wire.RequestExplanation] { return &m.Explain }),
		peer.MethodQuarantineReport:  newExchange((*peer.Client).ReportCrash, func(m *peer.Methods) *peer.Handler[wire.QuarantineReport, wire.QuarantineAnswer] { return &m.Report }),
		peer.MethodQuarantineReserve: newExchange((*peer.Client).ReserveSlot, func(m *peer.Methods) *peer.Handler[wire.QuarantineReserve, wire.QuarantineGrant] { return &m.Free }),
		peer.MethodQuarantineDone:    newExchange((*peer.Client).ReportDone, func(m *peer.Methods) *peer.Handler[wire.QuarantineDone, wire.QuarantineAnswer] { return &m.Done }),
		peer.MethodStoreRelay:        newExchange((*peer.Client).RelayRows, func(m *peer.Methods) *peer.Handler[wire.RelayQuery, wire.RelayAnswer] { return &m.Relay }),
		peer.MethodRatelimitTake:     newExchange((*peer.Client).TakePermit, func(m *peer.Methods) *peer.Handler[wire.RatelimitTake, wire.RatelimitAnswer] { return &m.Take }),
		peer.MethodRatelimitReport:   newExchange((*peer.Client).ReportRateLimit, func(m *peer.Methods) *peer.Handler[wire.RatelimitReport, wire.RatelimitAnswer] { return &m.Limit }),
		peer.MethodResumeKeep:        newExchange((*peer.Client).KeepRecords, func(m *peer.Methods) *peer.Handler[wire.ResumeRecords, wire.ResumeAck] { return &m.Keep }),
		peer.MethodResumeFind:        newExchange((*peer.Client).FindStream, func(m *peer.Methods) *peer.Handler[wire.ResumeQuery, wire.ResumeAnswer] { return &m.Find }),
		peer.MethodProxyReach:        newExchange((*peer.Client).Reach, func(m *peer.Methods) *peer.Handler[wire.ProxyQuery, wire.ProxyAnswer] { return &m.Reach }),
	}
)

type (
	// exchange makes and serves calls of one method.
	exchange struct {
		call  func(ctx context.Context, client *peer.Client, address string) (answer any, err error) // With all fields set.
		serve func(m *peer.Methods, received func(params any))                                       // Answers with all fields set.
	}

	// tapConn records the bytes of a connection.
	tapConn struct {
		net.Conn
		mu        sync.Mutex
		sent, got []byte
	}
)

func newExchange[P, R any](call func(*peer.Client, context.Context, string, P) (R, error), handler func(*peer.Methods) *peer.Handler[P, R]) exchange {
	return exchange{
		call: func(ctx context.Context, client *peer.Client, address string) (any, error) {
			return call(client, ctx, address, filled[P]())
		},
		serve: func(m *peer.Methods, received func(params any)) {
			*handler(m) = func(_ context.Context, params P) (R, error) {
				received(params)
				return filled[R](), nil
			}
		},
	}
}

// filled returns a value with all fields set.
func filled[T any]() T {
	var value T
	fill(reflect.ValueOf(&value).Elem())
	return value
}

func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.String:
		v.SetString("text")
	case reflect.Int:
		v.SetInt(1 << 40)
	case reflect.Uint64:
		v.SetUint(1 << 40)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Bool:
		v.SetBool(true)
	default:
		panic(fmt.Sprint("no value for the kind ", v.Kind()))
	}
}

func (c *tapConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, data...)
	return c.Conn.Write(data)
}

func (c *tapConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got = append(c.got, data[:n]...)
	return n, err
}

// Records what this release sends, for the tests of later ones.
func TestRecord(t *testing.T) {
	if !*record {
		t.Skip("records only with -record")
	}
	is := is.New(t)
	var out strings.Builder
	methods := &peer.Methods{}
	address := startServer(t, &peer.Server{Methods: methods})
	for _, method := range sortedMethods() {
		exchanges[method].serve(methods, func(any) {})
		var tap *tapConn
		client := &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			tap = &tapConn{Conn: conn}
			return tap, err
		}}
		_, err := exchanges[method].call(t.Context(), client, address)
		is.NoErr(err)
		tap.mu.Lock()
		fmt.Fprintf(&out, "%s\t%q\t%q\n", method, tap.sent, tap.got)
		tap.mu.Unlock()
	}
	is.NoErr(os.WriteFile(recordedFile, []byte(out.String()), 0o600))
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(os.WriteFile(refusalFile, fmt.Appendf(nil, "%q\n", sendRaw(t, conn, unknownCall, 1)), 0o600))
}

// sendRaw sends a message and returns the first message of the answer, with its length, behind the accept byte if there is one.
func sendRaw(t *testing.T, conn net.Conn, message string, accept int) string {
	t.Helper()
	frame := append(binary.AppendUvarint(nil, uint64(len(message))), message...)
	if _, err := conn.Write(frame); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	head := make([]byte, accept)
	if _, err := io.ReadFull(reader, head); err != nil {
		t.Fatal(err)
	}
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		t.Fatal(err)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		t.Fatal(err)
	}
	return string(head) + string(binary.AppendUvarint(nil, size)) + string(body)
}
