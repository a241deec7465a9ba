package connector

import "strings"

// OriginTarget returns the path and the query of the target of a request line as the
// client sent them. It cuts the scheme and the authority off a target in absolute
// form (RFC 9112, section 3.2.2).
func OriginTarget(requestURI string) string {
	if strings.HasPrefix(requestURI, "/") {
		return requestURI
	}
	_, rest, ok := strings.Cut(requestURI, "://")
	if !ok {
		return requestURI
	}
	switch i := strings.IndexAny(rest, "/?"); {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	default:
		return rest[i:]
	}
}

// ValidTarget reports whether a target can be written into a request line without
// ending it.
func ValidTarget(target string) bool {
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(target, "/")
}
