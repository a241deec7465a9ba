package encoder

// NewHeader returns a header with the values, which may be any octets.
func NewHeader(name string, values ...string) *Header {
	h := &Header{Name: name, Values: make([][]byte, len(values))}
	for i, v := range values {
		h.Values[i] = []byte(v)
	}
	return h
}

// Strings returns the values of a header.
func (h *Header) Strings() []string {
	values := make([]string, len(h.GetValues()))
	for i, v := range h.GetValues() {
		values[i] = string(v)
	}
	return values
}
