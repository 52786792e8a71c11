package test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformName matches headers, keys and calls of the operators' platform.
var platformName = regexp.MustCompile(`(?i)hornbeamhoist[-_][a-z]|op/(config|evacuate)|kv-(watch|range|key)\b|stage-(run|free)`)

// TestPlatformNamesStayInTheAdapter guards against code outside platform/ that depends on
// how the operators' platform spells something.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); name == "platform" && filepath.Dir(path) == ".." || name == ".git" || name == "target" || name == "journal" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "platform_names_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := platformName.Find(data); found != nil {
			t.Errorf("%s has %q", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
