package composer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// sendInTwoParts sends a request whose body is completed after the pause that
// between makes, and returns the status of the answer.
func (f *fleet) sendInTwoParts(m *machine, id string, between func()) (int, error) {
	c, err := net.Dial("tcp", net.JoinHostPort(m.address, f.outbound))
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		return 0, err
	}
	const body = "0123456789"
	head := "POST /write/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s"
	if _, err := fmt.Fprintf(c, head, host, id, len(body), body[:5]); err != nil {
		return 0, err
	}
	between()
	if _, err := c.Write([]byte(body[5:])); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// TestStopBetweenHeadAndBody guards against a graceful shutdown that cuts off a
// request whose head had arrived before the signal and whose body comes after it:
// it is run and answered, or refused as not run.
func TestStopBetweenHeadAndBody(t *testing.T) {
	f := newFleet(t, "s", "s")
	stopped := make(chan struct{})
	var sent, answered sync.WaitGroup
	for i, pause := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		id := fmt.Sprint("h-", i)
		sent.Add(1)
		answered.Go(func() {
			status, err := f.sendInTwoParts(f.machines[0], id, func() {
				time.Sleep(100 * time.Millisecond) // The node reads the head.
				sent.Done()
				<-stopped
				time.Sleep(pause)
			})
			runs := len(f.runsOf(id))
			switch {
			case err != nil:
				t.Errorf("body %v after the signal: %v", pause, err)
			case status == http.StatusOK && runs == 1, status == http.StatusServiceUnavailable && runs == 0:
			default:
				t.Errorf("body %v after the signal: status %d, ran %d times", pause, status, runs)
			}
		})
	}
	sent.Wait()
	f.machines[0].stop()
	close(stopped)
	answered.Wait()
	<-f.machines[0].ended
}
