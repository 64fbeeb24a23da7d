package router

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"citronslip/internal/budget"
	"citronslip/internal/table"
)

// provenDead reports whether an instance has certainly ended: a later instance is registered under its peer address.
func (r *Router) provenDead(ctx context.Context, instance string) (bool, error) {
	address, err := instanceAddress(instance)
	if err != nil {
		return false, err
	}
	row, err := r.table.Get(ctx, budget.InstanceRowKey(address))
	if errors.Is(err, table.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	var registered budget.InstanceRow
	if err := json.Unmarshal(row.Value, &registered); err != nil {
		return false, trace.Wrap(err)
	}
	return instanceStart(registered.Instance) > instanceStart(instance), nil
}

// instanceAddress returns the peer address in an instance's identity (see newInstance).
func instanceAddress(instance string) (string, error) {
	_, address, ok := strings.Cut(instance, "@")
	if !ok {
		return "", trace.BadParameter("instance %q names no address", instance)
	}
	return address, nil
}

// instanceStart returns the start time in an instance's identity, in Unix milliseconds.
func instanceStart(instance string) int64 {
	text, _, _ := strings.Cut(instance, "-")
	// The start of a malformed identity is 0, the earliest of all, so that it never proves that another instance has
	// ended.
	start, _ := strconv.ParseInt(text, 36, 64)
	return start
}
