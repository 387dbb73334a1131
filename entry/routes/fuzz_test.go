package routes

import (
	"strings"
	"testing"
)

// FuzzRoute guards against hosts and paths of clients that end the process, or that reach a route of another host
// or prefix.
func FuzzRoute(f *testing.F) {
	t1, err := NewTable(Config{
		Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "a", Host: "site.example", Prefix: "/chat/", Kind: Idempotent, MaxAttempts: 1, Split: []WeightedService{{Service: "s", Weight: 1}}},
			{Name: "b", Host: "site.example", Prefix: "/", Kind: Idempotent, MaxAttempts: 1, Split: []WeightedService{{Service: "s", Weight: 1}}},
			{Name: "c", Host: "[::1]", Prefix: "/c/", Kind: Idempotent, MaxAttempts: 1, Split: []WeightedService{{Service: "s", Weight: 1}}},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][2]string{{"site.example", "/chat/x"}, {"SITE.example:80", "/"}, {"[::1]:80", "/c/"}, {"[::1]", "/c/%2e%2e/"}, {":", ""}, {"", "*"}} {
		f.Add(seed[0], seed[1])
	}
	f.Fuzz(func(t *testing.T, host, path string) {
		r := t1.Route(host, path)
		if r == nil {
			return
		}
		if !strings.HasPrefix(path, r.Prefix) || !strings.HasPrefix(strings.ToLower(host), r.Host) {
			t.Fatalf("%q%q reaches %s", host, path, r.Name)
		}
		if r.Name == "b" && strings.HasPrefix(path, "/chat/") {
			t.Fatalf("%q%q does not reach the longest prefix", host, path)
		}
	})
}
