// Package layers checks the import direction between the layers.
package layers

import (
	"go/build"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const internalPrefix = "github.com/cassiaramp/cassiaramp/internal/"

// layerRank orders the layers. A package may import only packages of the same or a
// lower rank. Packages that are not listed are composed of several layers; no
// listed package may import them.
var layerRank = map[string]int{"state": 0, "coordination": 1, "protocol": 2, "transport": 3}

// Guards against a package of the state or coordination layer that depends on the
// wire protocol or on sockets.
func TestImportDirection(t *testing.T) {
	checked := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() {
			return err
		}
		name, _ := filepath.Rel("..", path)
		from, ok := layerRank[strings.Split(filepath.ToSlash(name), "/")[0]]
		if !ok {
			return nil
		}
		pkg, err := build.ImportDir(path, 0)
		if err != nil {
			return nil // no Go files
		}
		checked++
		for _, imp := range pkg.Imports {
			to, ok := layerRank[strings.Split(strings.TrimPrefix(imp, internalPrefix), "/")[0]]
			if strings.HasPrefix(imp, internalPrefix) && (!ok || to > from) {
				t.Errorf("%s imports %s, which belongs to a higher layer or to none", name, imp)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < len(layerRank) {
		t.Fatalf("checked %d packages, want at least %d", checked, len(layerRank))
	}
}
