package sse_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"citronslip/internal/sse"
)

func ExampleReader() {
	reader := &sse.Reader{Source: strings.NewReader("data: one\n\nevent: end\ndata: two\n\ndata: th")}
	for {
		event, err := reader.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s\n", sse.Data(event))
	}
	// Output:
	// one
	// two
	// sse: stream ended within an event
}

// Guards against events that depend on how the stream is split into reads, that are incomplete or more than one event,
// or that differ from the bytes of the stream.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"data: {\"choices\":[]}\n\ndata: [DONE]\n\n", "data: a\r\n\r\n\r\n", "data: a\r\rdata: b\n\n", "\n\n\n", "a\n\rb\n\n", ": c\n\ndata: x",
		// A line that fills the buffer exactly, so that its line feed arrives in the next read.
		"data: " + strings.Repeat("x", 4<<10-6) + "\nid: 1\n\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		expected, expectedErr := readAll(bytes.NewReader(data))
		joined := strings.Join(expected, "")
		if !strings.HasPrefix(string(data), joined) {
			t.Fatalf("events %q are not a prefix of %q", expected, data)
		}
		for _, event := range expected {
			lines := strings.Split(strings.ReplaceAll(event, "\r\n", "\n"), "\n")
			fields := lines[:len(lines)-2]
			if lines[len(lines)-1] != "" || lines[len(lines)-2] != "" || strings.Contains(event, "\r") && strings.Count(event, "\r") != strings.Count(event, "\r\n") {
				t.Fatalf("%q is not a complete event", event)
			}
			for _, line := range fields {
				if line == "" {
					t.Fatalf("%q is more than one event", event)
				}
			}
		}
		if expectedErr == io.EOF && joined != string(data) {
			t.Fatalf("%q is not part of any event", data[len(joined):])
		}
		for _, source := range []io.Reader{
			iotest.OneByteReader(bytes.NewReader(data)),
			iotest.DataErrReader(bytes.NewReader(data)),
			io.MultiReader(bytes.NewReader(data[:split&0xffff%(len(data)+1)]), bytes.NewReader(data[split&0xffff%(len(data)+1):])),
		} {
			got, err := readAll(source)
			if err != expectedErr || strings.Join(got, "|") != strings.Join(expected, "|") {
				t.Fatalf("got %q, %v, expected %q, %v", got, err, expected, expectedErr)
			}
		}
	})
}

func readAll(source io.Reader) (events []string, err error) {
	reader := &sse.Reader{Source: source}
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

// Guards against an endless event that exhausts the memory.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	read := 0
	endless := readerFunc(func(data []byte) (int, error) {
		read += len(data)
		for i := range data {
			data[i] = 'x'
		}
		return len(data), nil
	})
	_, err := (&sse.Reader{Source: endless}).Next()
	is.True(errors.Is(err, sse.ErrEventTooLong))
	is.True(read <= 4*sse.DefaultMaxEventBytes)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }
