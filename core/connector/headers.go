package connector

// hopByHop holds the headers that concern one connection only (RFC 9110,
// section 7.6.1), and the length, which each connection states itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// HopByHop tells whether a header, in canonical form, concerns one connection
// only and must not be passed on.
func HopByHop(name string) bool { return hopByHop[name] }
