package prober

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/truncator"
)

// Guards against a health response that stops midway and takes its backend server out of
// use: it is cut at every byte, and only the whole one states that the server drains.
func TestResponseThatStops(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n{\"State\": \"Draining\"}"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n{\"State\": \"Draining\"}\r\n0\r\n\r\n"
	draining := make(map[string][]int)
	for _, text := range []string{whole, chunked} {
		err := truncator.Each(text, func(address string, n int) {
			if New("http://" + address + "/health").isDraining(t.Context()) {
				draining[text] = append(draining[text], n)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if d := cmp.Diff(map[string][]int{whole: {len(whole)}, chunked: {len(chunked)}}, draining); d != "" {
		t.Errorf("lengths of the responses that count: -want +got:\n%s", d)
	}
}
