package embedding_test

import (
	"go/build"
	"path/filepath"
	"strings"
	"testing"
)

const modulePrefix = "github.com/rattanlanding/rattanlanding/"

// embeddablePackages are the packages that other programs may import.
var embeddablePackages = []string{"verdict", "object", "lease", "health", "claim", "limit", "peer", "rendezvous", "retry"}

// daemonPackages are packages that belong to the daemon only.
var daemonPackages = []string{"node", "gateway", "operator", "settings", "replica", "placement", "route", "release"}

// collectImports adds to seen path and every package of this module that it imports,
// directly or indirectly.
func collectImports(t *testing.T, path string, seen map[string]bool) {
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
		if own, ok := strings.CutPrefix(imported, modulePrefix); ok {
			collectImports(t, own, seen)
		}
	}
}

// TestImports guards against an embeddable package that imports the daemon, its settings
// or its listeners, so that a program would link them.
func TestImports(t *testing.T) {
	for _, path := range embeddablePackages {
		seen := map[string]bool{}
		collectImports(t, path, seen)
		for _, forbidden := range daemonPackages {
			if seen[forbidden] {
				t.Errorf("package %s imports package %s", path, forbidden)
			}
		}
	}
}
