package test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformSpecificName matches headers, keys and API calls of the operators' platform.
var platformSpecificName = regexp.MustCompile(`(?i)hornbeamhoist[-_][a-z]|op/(config|evacuate)|kv-(watch|range|key)\b|stage-(run|free)`)

// TestPlatformNamesStayInTheAdapter guards against code outside platform/ that depends on
// names of the operators' platform.
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
		if name := platformSpecificName.Find(data); name != nil {
			t.Errorf("%s contains the platform-specific name %q", path, name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
