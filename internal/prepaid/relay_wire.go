package prepaid

import (
	"errors"
	"time"

	"citronslip/internal/store"
	"citronslip/internal/wire"
)

// isAnswer reports whether a write that ended with the error was answered by the store.
func isAnswer(err error) bool { return err == nil || errors.Is(err, store.ErrConflict) }

// encodeWrite returns a write as it is sent to another router.
func encodeWrite(w store.Write) wire.PrepaidWrite {
	request := wire.PrepaidWrite{Expect: []wire.PrepaidRow{}, Puts: []wire.PrepaidRow{}, Remove: []wire.PrepaidRow{}}
	for _, c := range w.Expect {
		request.Expect = append(request.Expect, encodeRow(store.Row{Key: c.Key, Version: c.Version}))
	}
	for _, p := range w.Puts {
		request.Puts = append(request.Puts, encodeRow(store.Row{Key: p.Key, Value: p.Value}))
	}
	for _, key := range w.Remove {
		request.Remove = append(request.Remove, encodeRow(store.Row{Key: key}))
	}
	return request
}

// decodeWrite returns the write that another router asks for. It reports whether the write is one of a router's grants or of
// its heartbeat; no other rows are written for other routers.
func decodeWrite(request wire.PrepaidWrite) (w store.Write, ok bool) {
	for _, r := range request.Expect {
		w.Expect = append(w.Expect, store.Condition{Key: decodeKey(r), Version: int64(r.Version)})
	}
	for _, r := range request.Puts {
		w.Puts = append(w.Puts, store.Put{Key: decodeKey(r), Value: []byte(r.Value)})
	}
	for _, r := range request.Remove {
		w.Remove = append(w.Remove, decodeKey(r))
	}
	for _, rows := range [][]wire.PrepaidRow{request.Expect, request.Puts, request.Remove} {
		for _, r := range rows {
			isHeartbeat := r.Table == heartbeatTable && r.Part == "" && len(request.Expect)+len(request.Remove) == 0
			isBudget := (r.Table == budgetTable || r.Table == grantTable) && len(request.Expect) > 0
			if !isHeartbeat && !isBudget {
				return store.Write{}, false
			}
		}
	}
	return w, true
}

// encodeResult returns the outcome of a write for another router.
func encodeResult(result store.Result, err error) wire.PrepaidWritten {
	answer := wire.PrepaidWritten{
		Rows: []wire.PrepaidRow{}, Version: int(result.Version), Clock: int(result.Clock.Microseconds()), Era: int(result.Era),
	}
	switch {
	case err == nil:
		answer.State = relayWritten
	case errors.Is(err, store.ErrConflict):
		answer.State = relayConflict
	case errors.Is(err, store.ErrUnavailable):
		answer.State = relayUnavailable
	default:
		answer.State = relayUnknown
	}
	for _, row := range result.Rows {
		answer.Rows = append(answer.Rows, encodeRow(row))
	}
	return answer
}

// decodeResult returns the answer of the store in the outcome of a write through another router.
func decodeResult(answer wire.PrepaidWritten) store.Result {
	result := store.Result{
		Version: int64(answer.Version), Clock: time.Duration(answer.Clock) * time.Microsecond, Era: int64(answer.Era),
	}
	for _, r := range answer.Rows {
		result.Rows = append(result.Rows, store.Row{Key: decodeKey(r), Value: []byte(r.Value), Version: int64(r.Version)})
	}
	return result
}

func encodeRow(row store.Row) wire.PrepaidRow {
	return wire.PrepaidRow{Table: row.Table, Part: row.Part, Name: row.Name, Version: int(row.Version), Value: string(row.Value)}
}

func decodeKey(r wire.PrepaidRow) store.Key {
	return store.Key{Table: r.Table, Part: r.Part, Name: r.Name}
}
