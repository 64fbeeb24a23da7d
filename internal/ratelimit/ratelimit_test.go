package ratelimit_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/ratelimit"
)

// Guards against a number of rejections that would stop a server for good or count none, and against an odd one that is
// used.
func TestParseBrittle(t *testing.T) {
	is := is.New(t)
	for text, expected := range map[string]ratelimit.Rate{"3": 3, "0.5": 0.5, "0": 1.0 / 60, "1e300": 1e6} {
		brittle, err := ratelimit.ParseBrittle(text)
		is.NoErr(err)
		is.Equal(brittle, expected)
	}
	for _, text := range []string{"", "-1", "NaN", "few"} {
		_, err := ratelimit.ParseBrittle(text)
		is.True(errors.Is(err, ratelimit.ErrInvalidRate))
	}
}

// Guards against a rate that no clock can keep, and against a valid one that is ignored.
func TestParseRate(t *testing.T) {
	is := is.New(t)
	for text, expected := range map[string]ratelimit.Rate{"1": 1, "0.25": 0.25, " 12.5 ": 12.5, "0": 0, "1e3": 1000} {
		rate, err := ratelimit.ParseRate(text)
		is.NoErr(err)
		is.Equal(rate, expected)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1e999", "many", "1,2", "1 2"} {
		_, err := ratelimit.ParseRate(text)
		is.True(errors.Is(err, ratelimit.ErrInvalidRate))
	}
}
