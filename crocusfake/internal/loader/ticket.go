package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// ticketBatchSize is the number of tickets that are requested at a time.
const ticketBatchSize = 16

type ticket struct {
	value       string
	usableUntil time.Time
}

// takeTicket returns a cached ticket, or the first one of a new batch. It returns
// "" if no batch can be fetched; the request is then sent without a ticket and
// receives one with status 428.
func (l *Loader) takeTicket(k Kind) string {
	l.mu.Lock()
	for stock := l.tickets[k.Name]; len(stock) > 0; stock = l.tickets[k.Name] {
		t := stock[0]
		l.tickets[k.Name] = stock[1:]
		if time.Now().Before(t.usableUntil) {
			l.mu.Unlock()
			return t.value
		}
	}
	l.mu.Unlock()
	entry, _ := l.pickEntryAndBackoff()
	values, lifetime := l.fetchTickets(k, entry)
	if len(values) == 0 {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range values[1:] {
		// Using a ticket only in the first half of its lifetime leaves time for
		// repeats with the same ticket.
		l.tickets[k.Name] = append(l.tickets[k.Name], ticket{value: v, usableUntil: time.Now().Add(lifetime / 2)})
	}
	return values[0]
}

func (l *Loader) fetchTickets(k Kind, entry string) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), k.Timeout)
	defer cancel()
	q := url.Values{"service": {k.Service}, "kind": {k.Name}, "count": {fmt.Sprint(ticketBatchSize)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/crocus/tickets?"+q.Encode(), nil)
	if err != nil {
		return nil, 0
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	var batch struct {
		Tickets         []string
		LifetimeSeconds int
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&batch) != nil {
		return nil, 0
	}
	return batch.Tickets, time.Duration(batch.LifetimeSeconds) * time.Second
}
