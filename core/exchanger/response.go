package exchanger

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/headreader"
)

const (
	// maxSkippedResponses bounds the number of responses to earlier requests
	// that are skipped.
	maxSkippedResponses = 4
	// maxDiscardBytes bounds the bytes of a response body that are read and
	// discarded.
	maxDiscardBytes = 1 << 20
	// drainTime bounds how long the rest of a response that is not needed is read.
	drainTime = 20 * time.Millisecond
	// writeGrace bounds how long the rest of a request may take to be written
	// after its response has been read. Past it, the connection is closed.
	writeGrace = time.Second
)

// match is what a response says about the request that it answers.
type match int

const (
	matchYes     match = iota // It states that it answers the request.
	matchFirst                // It states no request and is the first on its connection.
	matchOther                // It answers another request.
	matchUnclear              // It may answer either.
)

// matchResponse compares the IDs that a response states with that of the request. fresh is
// true if the connection has carried no other request.
func matchResponse(stated []string, id string, fresh bool) match {
	switch {
	case slices.ContainsFunc(stated, func(s string) bool { return s != stated[0] }):
		return matchUnclear
	case len(stated) > 0 && stated[0] != "":
		if stated[0] == id {
			return matchYes
		}
		return matchOther
	case fresh:
		return matchFirst
	}
	return matchUnclear
}

// response reads the response to the request and skips interim responses and responses
// to earlier requests.
func (x *exchange) response(r Request) (*http.Response, error) {
	for range maxSkippedResponses {
		resp, err := x.conn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			switch matchResponse(resp.Header.Values(r.IDHeader), r.ID, x.fresh) {
			case matchYes:
				return resp, nil
			case matchFirst:
				resp.Close = true // A later response could be a copy of this one.
				return resp, nil
			case matchUnclear:
				return nil, errors.New("response that may belong to an earlier request on the connection")
			case matchOther:
			}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
		if err != nil || n == maxDiscardBytes || resp.Close {
			return nil, errors.New("connection not usable after a response to another request")
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// Body is the body of a response. When it has been read to its end, the connection is
// returned to the pool if it can be reused safely.
type Body struct {
	exchange *exchange
	resp     *http.Response
	// complete is true once the body was read to its end. ended is true from then on,
	// or from Close: the connection is no longer used here.
	complete, ended bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	n, err := b.resp.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.checkEnd(); err != nil {
		return n, err
	}
	b.complete = true
	b.end()
	return n, io.EOF
}

// checkEnd returns an error unless the body is known to be complete. http.ReadResponse
// has compared it with its length or chunks.
func (b *Body) checkEnd() error {
	if b.endsWithConnection() {
		return b.exchange.conn.checkEnd()
	}
	return headreader.CheckTrailer(b.resp.Trailer)
}

// endsWithConnection reports whether only the end of the connection ends the body.
func (b *Body) endsWithConnection() bool {
	return b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0 && b.resp.Body != http.NoBody
}

// end returns the connection to the pool once the request is completely
// written.
func (b *Body) end() {
	if b.ended {
		return
	}
	b.ended = true
	x := b.exchange
	if !x.stop() {
		_ = x.conn.Close()
		return
	}
	select {
	case err := <-x.written:
		x.release(err, b.resp)
	default:
		go x.releaseLater(b.resp)
	}
}

// release returns a connection to the pool, or closes it if the request was not written
// completely or no other may follow it. err is the error of writing the request.
func (x *exchange) release(err error, resp *http.Response) {
	if err != nil || resp.Close {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn, idleTimeout(resp.Header))
}

// releaseLater releases the connection of a request that was answered before it
// was completely written.
func (x *exchange) releaseLater(resp *http.Response) {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-x.written:
		x.release(err, resp)
	case <-timer.C:
		_ = x.conn.Close()
	}
}

// idleTimeout returns the timeout that a Keep-Alive header states in whole
// seconds, or 0.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}

// Close implements io.Closer. It closes the connection if the response was not
// read to its end.
func (b *Body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.exchange.stop()
	return b.exchange.conn.Close()
}

// Drain reads a short body to its end, so that the connection can be reused, and closes
// it. It doesn't wait for a body that is slow to end.
func (b *Body) Drain() {
	_ = b.exchange.conn.SetReadDeadline(time.Now().Add(drainTime)) // If this fails, so does the read.
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDiscardBytes))
	_ = b.Close()
}
