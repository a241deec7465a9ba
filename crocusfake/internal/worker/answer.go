package worker

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// FillerText returns size bytes of pseudo-random hexadecimal text derived from
// seed.
func FillerText(seed string, size int) []byte {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(seed), 0))
	raw := make([]byte, (size+1)/2+8)
	for i := 0; i+8 <= len(raw); i += 8 {
		v := rng.Uint64()
		for j := range 8 {
			raw[i+j] = byte(v >> (8 * j))
		}
	}
	return []byte(hex.EncodeToString(raw)[:size])
}

// Answer returns the body of the complete and correct answer to a request: a
// header line followed by size bytes of filler. If size is 0, the filler has
// between 128 and 1,151 bytes, depending on the key.
func Answer(service, path, key string, size int, body []byte) []byte {
	head := fmt.Sprintf("%s %s %s %016x\n", service, path, key, xxhash.Sum64(body))
	if size == 0 {
		size = 128 + int(xxhash.Sum64String(key)%1024)
	}
	return append([]byte(head), FillerText(head, size)...)
}

// NewBody returns a request body that http.Transport can't replay. Otherwise
// the transport would silently retry a GET after a failure of a kept-alive
// connection, and neither the ledger nor the caller's record could distinguish
// the retry from the first request. For other methods an empty body is
// http.NoBody: the transport does not retry those methods, and a body of unknown
// length would be sent with chunked encoding.
func NewBody(method string, b []byte) io.Reader {
	if len(b) == 0 && method != http.MethodGet {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(b)}
}
