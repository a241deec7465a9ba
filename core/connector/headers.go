package connector

// hopByHop holds the headers that apply to a single connection only (RFC 9110,
// section 7.6.1), and Content-Length, which is set anew for each connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// HopByHop reports whether a header, in canonical form, applies to a single
// connection only and must not be forwarded.
func HopByHop(name string) bool { return hopByHop[name] }
