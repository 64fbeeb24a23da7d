package peer_test

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/harness"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

func sortedMethods() []string { return slices.Sorted(maps.Keys(exchanges)) }

// recorded returns the recorded request and answer of each method.
func recorded(t *testing.T) map[string][2]string {
	t.Helper()
	data, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	calls := make(map[string][2]string)
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		var call [2]string
		for i := range call {
			if call[i], err = strconv.Unquote(fields[i+1]); err != nil {
				t.Fatal(err)
			}
		}
		calls[fields[0]] = call
	}
	return calls
}

// content returns a part of a recorded message: of a request behind its length, of an answer behind the accept byte and its
// length.
func content(t *testing.T, message, field string) []byte {
	t.Helper()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(message[strings.IndexByte(message, '{'):]), &fields); err != nil {
		t.Fatal(err)
	}
	return fields[field]
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a request of an earlier release that is not understood, or of which a field is lost.
func TestRecordedRequestsAreUnderstood(t *testing.T) {
	calls := recorded(t)
	if len(calls) != len(exchanges) {
		t.Fatalf("%d methods recorded, expected %d", len(calls), len(exchanges))
	}
	for method, call := range calls {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			methods, received := &peer.Methods{}, make(chan any, 1)
			exchanges[method].serve(methods, func(params any) { received <- params })
			conn, err := net.Dial("tcp", startServer(t, &peer.Server{Methods: methods}))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, call[0])
			is.NoErr(err)
			is.NoErr(harness.Keeps(content(t, call[0], "params"), encode(t, <-received)))
		})
	}
}

// Guards against an answer of an earlier release that is not understood, or of which a field is lost.
func TestRecordedAnswersAreUnderstood(t *testing.T) {
	for method, call := range recorded(t) {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			address := answerWith(t, call[1])
			answer, err := exchanges[method].call(t.Context(), &peer.Client{}, address)
			is.NoErr(err)
			is.NoErr(harness.Keeps(content(t, call[1], "result"), encode(t, answer)))
		})
	}
}

// answerWith listens for one connection and answers the first call with recorded bytes. It returns the address.
func answerWith(t *testing.T, recorded string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, recorded[:1]) // The accept byte. The test fails if it does not arrive.
		_, _ = conn.Read(make([]byte, 1))         // The first byte of the request.
		_, _ = io.WriteString(conn, recorded[1:])
	}()
	return listener.Addr().String()
}

// Guards against the answer of an earlier release to a method that it does not know, and that is not recognized as such.
func TestRecordedRefusalIsUnderstood(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(refusalFile)
	is.NoErr(err)
	recorded, err := strconv.Unquote(strings.TrimSpace(string(data)))
	is.NoErr(err)
	_, err = (&peer.Client{}).TakeColdPermit(t.Context(), answerWith(t, recorded), wire.ColdstartTake{})
	is.True(errors.Is(err, peer.ErrUnsupported))
}

// Guards against a method, a field or a part of a message of a later release that ends the connection.
func TestUnknownPartsKeepTheConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, &peer.Server{Methods: &peer.Methods{State: echoState}})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.True(strings.Contains(sendRaw(t, conn, unknownCall, 1), "-32601"))
	call := `{"id":1,"jsonrpc":"2.0","method":"request.state","params":{"request":"a-1","future":{"a":[1]}},"future":{}}`
	is.True(strings.Contains(sendRaw(t, conn, call, 0), `"a-1"`))
}
