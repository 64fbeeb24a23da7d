package dispatch

import (
	"encoding/hex"
	"hash/fnv"
	"io"
	"strconv"
)

const (
	hexadecimal = 16
)

// fingerprint returns the same value for requests with the same host, path, API key, method and body.
func (r *Request) fingerprint() string {
	hash := fnv.New128a()
	for _, part := range []string{r.Host, r.Path, r.Key, r.Method} {
		_, _ = io.WriteString(hash, part) // Writing to a hash does not fail.
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return strconv.FormatUint(uint64(len(r.Body)), hexadecimal) + "-" + hex.EncodeToString(hash.Sum(nil))
}
