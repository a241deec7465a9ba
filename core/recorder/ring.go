package recorder

// ring is a ring buffer of the most recently pushed values. It is not safe for
// concurrent use.
type ring[T any] struct {
	values []T
	// next is the index at which the next value is written.
	next int
	// filled is true once every index has been written.
	filled bool
}

func newRing[T any](size int) *ring[T] {
	return &ring[T]{values: make([]T, max(size, 1))}
}

func (r *ring[T]) push(v T) {
	r.values[r.next] = v
	r.next++
	if r.next == len(r.values) {
		r.next, r.filled = 0, true
	}
}

// last returns up to limit matching values, newest first.
func (r *ring[T]) last(limit int, match func(*T) bool) []T {
	n := r.next
	if r.filled {
		n = len(r.values)
	}
	var out []T
	for i := 1; i <= n && len(out) < limit; i++ {
		v := &r.values[(r.next-i+len(r.values))%len(r.values)]
		if match(v) {
			out = append(out, *v)
		}
	}
	return out
}
