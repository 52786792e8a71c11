package catalog

import (
	"strings"
	"testing"
)

// TestParseTarget guards against a path or query that is changed on its way to the upstream, and against
// targets without a path that match a route.
func TestParseTarget(t *testing.T) {
	for _, test := range []struct{ requestURI, path, forwarded string }{
		{"/x/y", "/x/y", "/x/y"},
		{"/x/2026%2F17?a=%2F", "/x/2026%2F17", "/x/2026%2F17?a=%2F"},
		{"/x/2026%2f17", "/x/2026%2f17", "/x/2026%2f17"},
		{"/x/%2e%2e/y/", "/x/%2e%2e/y/", "/x/%2e%2e/y/"},
		{"/x/../y/./z", "/x/../y/./z", "/x/../y/./z"},
		{"//x//y", "//x//y", "//x//y"},
		{"/", "/", "/"},
		{"/x/?", "/x/", "/x/?"},
		{"/x?/y/", "/x", "/x?/y/"},
		{"/x/?a?b", "/x/", "/x/?a?b"},
		{"/x/#y", "/x/#y", "/x/#y"},
		{"/x/\xc3\xa9", "/x/\xc3\xa9", "/x/\xc3\xa9"},
		{"http://a.example/x%2Fy?z", "/x%2Fy", "/x%2Fy?z"},
		{"HTTPS://a.example:443//x", "//x", "//x"},
		{"http://a.example", "/", "/"},
		{"http://a.example?q=/x/", "/", "/?q=/x/"},
		{"http://a.example/http://b.example/", "/http://b.example/", "/http://b.example/"},
	} {
		target, ok := ParseTarget(test.requestURI)
		if !ok || target.Path() != test.path || target.String() != test.forwarded {
			t.Errorf("%q: path %q, forwarded as %q, %v; expected %q and %q", test.requestURI, target.Path(), target, ok, test.path, test.forwarded)
		}
	}
	for _, requestURI := range []string{"", "*", "?a=b", "x/y", "a.example:443", "http:///x/", "http:/x/", "ftp://a.example/x/", "/x y", "/x\r\nA: b", "/x\x7f", "http://"} {
		if target, ok := ParseTarget(requestURI); ok {
			t.Errorf("%q has the path %q, expected that it is refused", requestURI, target.Path())
		}
	}
}

// FuzzTarget guards against a request that is forwarded with a path to which its route does not belong,
// and against a target that would end the request line.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{
		"/x/y", "/x/y%2Fz?a", "/x%2fy/z", "/x/%2e%2e/y/", "//x/y", "/x/./y/", "", "*", "?a", "http://a.example/x/y?b", "http://a.example?/x/", "a.example:443",
	} {
		f.Add(seed)
	}
	c := &Catalog{Routes: []Route{
		{Name: "wide", Host: "a.example", Prefix: "/x/"}, {Name: "narrow", Host: "a.example", Prefix: "/x/y/"}, {Name: "other", Host: "a.example", Prefix: "/%/"},
	}}
	c.Index()
	f.Fuzz(func(t *testing.T, requestURI string) {
		target, ok := ParseTarget(requestURI)
		if !ok {
			if route := c.Match("a.example", target); route != nil {
				t.Fatalf("%q is no target and matches route %s", requestURI, route.Name)
			}
			return
		}
		forwarded := target.String()
		if !strings.HasPrefix(forwarded, "/") || strings.ContainsAny(forwarded, " \r\n\t\x00") {
			t.Fatalf("%q is forwarded as %q", requestURI, forwarded)
		}
		if forwarded != requestURI && forwarded != "/" && !strings.HasSuffix(requestURI, strings.TrimPrefix(forwarded, "/")) {
			t.Fatalf("%q is changed to %q", requestURI, forwarded)
		}
		if again, ok := ParseTarget(forwarded); !ok || again != target {
			t.Fatalf("%q is forwarded as %q, which the upstream parses as %q, %v", requestURI, forwarded, again, ok)
		}
		longest := ""
		for _, route := range c.Routes {
			path, _, _ := strings.Cut(forwarded, "?")
			if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(longest) {
				longest = route.Prefix
			}
		}
		route := c.Match("a.example", target)
		if route == nil && longest != "" || route != nil && route.Prefix != longest {
			t.Fatalf("%q is forwarded as %q by route %v, expected prefix %q", requestURI, forwarded, route, longest)
		}
	})
}
