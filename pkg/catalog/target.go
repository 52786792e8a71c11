package catalog

import "strings"

// Target is the target of a request as the client sent it: a path that begins with a slash, and a
// query. Neither is decoded or cleaned, so that the route is selected by the same bytes that are
// forwarded: "%2F" is data within a segment of a path, and "//", "." and "%2e" stand for themselves.
type Target struct {
	path, query string
}

// ParseTarget parses the target of a request line. The absolute form loses its scheme and authority.
// It returns false for targets without a path, such as "*", and for bytes that cannot stand in a
// request line.
func ParseTarget(requestURI string) (Target, bool) {
	for i := range len(requestURI) {
		if requestURI[i] <= ' ' || requestURI[i] == 0x7f {
			return Target{}, false
		}
	}
	origin := requestURI
	if !strings.HasPrefix(requestURI, "/") {
		scheme, rest, _ := strings.Cut(requestURI, "://")
		if !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return Target{}, false
		}
		authority := rest
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			authority = rest[:i]
		}
		if authority == "" {
			return Target{}, false
		}
		origin = rest[len(authority):]
		if !strings.HasPrefix(origin, "/") {
			// An empty path of the absolute form is sent as a slash (RFC 9112, section 3.2.1).
			origin = "/" + origin
		}
	}
	path := origin
	if i := strings.IndexByte(origin, '?'); i >= 0 {
		path = origin[:i]
	}
	return Target{path: path, query: origin[len(path):]}, true
}

// Path returns the path without the query.
func (t Target) Path() string { return t.path }

// String returns the target as it is forwarded: the path and, with its question mark, the query.
func (t Target) String() string { return t.path + t.query }
