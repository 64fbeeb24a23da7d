package config_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/board"
	"citronslip/internal/config"
	"citronslip/internal/object"
	"citronslip/internal/peer"
	"citronslip/internal/table"
	"citronslip/internal/wire"
)

func ExampleStore_Commit() {
	ctx := context.Background()
	store := &config.Store{Table: &table.Memory{}, Objects: &object.Memory{}}
	first := config.Change{Edited: 0, Inventory: []byte("# one\n"), Identity: "a1", Author: "nina"}
	version, err := store.Commit(ctx, first)
	fmt.Println(version.Number, err)
	version, err = store.Commit(ctx, first) // The command is repeated, as after a lost response.
	fmt.Println(version.Number, err)
	_, err = store.Commit(ctx, config.Change{Edited: 0, Inventory: []byte("# two\n"), Identity: "b1", Author: "vito"})
	fmt.Println(err)
	history, _ := store.History(ctx, 10)
	fmt.Println(len(history), history[0].Author)
	// Output:
	// 1 <nil>
	// 1 <nil>
	// config: version 0 was edited, but version 1 by "nina" is in force
	// 1 nina
}

// Guards against a diff that does not reproduce the exact inventory when the receiver is several versions behind, and
// against sending whole inventories after a small edit.
func TestDiffReproducesInventory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runInBubble(t, func(t *testing.T) {
			is := is.New(rt)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			store := &config.Store{Table: &table.Memory{}, Objects: &object.Memory{}}
			source := newTestController(store)
			go func() { _ = source.Run(ctx) }()
			receiver := newTestController(nil)
			sentBytes := 0
			receiver.Get = func(ctx context.Context, _ string, get wire.ConfigGet) (wire.ConfigPart, error) {
				part, err := source.ServeConfigGet(ctx, get)
				sentBytes += len(part.Data)
				return part, err
			}
			content := []byte(inventoryText(0))
			for number := range rapid.IntRange(1, 24).Draw(rt, "versions") {
				content = randomEdit(rt, content)
				_, err := store.Commit(t.Context(), config.Change{Edited: number, Inventory: content, Identity: fmt.Sprint(number)})
				is.NoErr(err)
				time.Sleep(2 * time.Second)
				if !rapid.Bool().Draw(rt, "fetch") {
					continue
				}
				sentBytes = 0
				held := 0
				state, err := receiver.ServeConfigState(t.Context(), wire.ConfigQuery{Address: "source"})
				is.NoErr(err)
				held = state.Held
				state, err = receiver.ServeConfigState(t.Context(), wire.ConfigQuery{Address: "source", Number: number + 1})
				is.NoErr(err)
				is.Equal(state.Held, number+1)
				if held == number && number > 0 {
					is.True(sentBytes < 200) // One edit of at most 40 bytes.
				}
			}
		})
	})
}

// newTestController returns a controller without peers that is not running.
func newTestController(store *config.Store) *config.Controller {
	return &config.Controller{
		Store: store, Parse: acceptAny,
		Adopted: &board.Cell[config.Version]{}, State: &board.Cell[wire.ConfigState]{},
		Members: &board.Cell[peer.Members]{}, Heard: &board.Cell[peer.AnnouncedVersion]{},
	}
}

// randomEdit replaces up to 40 bytes at a random offset by up to 40 random ones.
func randomEdit(rt *rapid.T, content []byte) []byte {
	offset := rapid.IntRange(0, len(content)).Draw(rt, "at")
	removed := rapid.IntRange(0, min(40, len(content)-offset)).Draw(rt, "cut")
	inserted := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 40).Draw(rt, "insert")
	result := append([]byte(nil), content[:offset]...)
	result = append(result, inserted...)
	return append(result, content[offset+removed:]...)
}

func ExampleQueryVersions() {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	state := func(context.Context, wire.ConfigQuery) (wire.ConfigState, error) {
		return wire.ConfigState{Number: 3, Ready: true}, nil
	}
	server := &peer.Server{Listener: listener, Methods: &peer.Methods{Version: state}}
	done := make(chan error)
	go func() { done <- server.Run(ctx) }()
	members := []wire.Member{{Address: listener.Addr().String()}, {Address: "192.0.2.1:1"}}
	for _, result := range config.QueryVersions(ctx, &peer.Client{}, members) {
		fmt.Println(result.State.Number, errors.Is(result.Err, peer.ErrNotSent))
	}
	cancel()
	<-done
	// Output:
	// 3 false
	// 0 true
}
