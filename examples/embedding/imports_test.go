package embedding_test

import (
	"go/build"
	"path/filepath"
	"strings"
	"testing"
)

const module = "github.com/rattanlanding/rattanlanding/"

// embedded are the packages that other programs may use.
var embedded = []string{"verdict", "object", "lease", "health", "claim", "limit", "peer", "rendezvous", "retry"}

// wiring are the packages that make up the daemon.
var wiring = []string{"node", "gateway", "operator", "settings", "replica", "placement", "route", "release"}

// reach adds to seen every package of this module that path imports, directly
// or not.
func reach(t *testing.T, path string, seen map[string]bool) {
	t.Helper()
	if seen[path] {
		return
	}
	seen[path] = true
	p, err := build.ImportDir(filepath.Join("..", "..", filepath.FromSlash(path)), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, imported := range p.Imports {
		if own, ok := strings.CutPrefix(imported, module); ok {
			reach(t, own, seen)
		}
	}
}

// TestImports guards against an embeddable package that pulls in the daemon, its
// settings or its listeners.
func TestImports(t *testing.T) {
	for _, path := range embedded {
		seen := map[string]bool{}
		reach(t, path, seen)
		for _, forbidden := range wiring {
			if seen[forbidden] {
				t.Errorf("package %s imports package %s", path, forbidden)
			}
		}
	}
}
