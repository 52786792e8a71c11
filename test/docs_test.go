package test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

const operationsPagesGlob = "../docs/operations/*.md"

// errorKindRow matches a row of the table of error kinds: name, status, run state and Retry-After.
var errorKindRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| `([a-z_]+)` \\| (-|\\d+) \\| [^|]+ \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|$")

// TestRefusalsPageMatchesErrorKinds guards against an error kind that the operations page does
// not list, and against a row that differs from the response of the gateway.
func TestRefusalsPageMatchesErrorKinds(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/refusals.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string][]string{}
	for _, row := range errorKindRow.FindAllStringSubmatch(string(page), -1) {
		if rows[row[1]] != nil {
			t.Errorf("%s has two rows", row[1])
		}
		rows[row[1]] = row[2:]
	}
	for _, kind := range errkind.All() {
		response, retryAfter := kind.Response(), "-"
		if response.RetryAfter > 0 {
			retryAfter = fmt.Sprint(int(response.RetryAfter.Seconds()))
		}
		want := []string{fmt.Sprint(response.Status), response.RunState.String(), retryAfter}
		if got := rows[response.Name]; strings.Join(got, " ") != strings.Join(want, " ") {
			t.Errorf("%s: status, run state and Retry-After are %v on the page, want %v", response.Name, got, want)
		}
		delete(rows, response.Name)
	}
	for name := range rows {
		t.Errorf("the page has a row for %s, which is not an error kind", name)
	}
}

var (
	scriptName      = regexp.MustCompile(`\b([a-z_]+\.txtar)\b`)
	testName        = regexp.MustCompile(`\b((?:Test|Fuzz|Example)[A-Z]\w+)\b`)
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Example)[A-Z]\w+)\(`)
	localLink       = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// TestPageReferencesExist guards against pages that refer to a test or script which was
// renamed or removed, and against broken links.
func TestPageReferencesExist(t *testing.T) {
	existing := existingTests(t)
	pages, err := filepath.Glob(operationsPagesGlob)
	if err != nil || len(pages) == 0 {
		t.Fatalf("no operations pages found: %v", err)
	}
	for _, page := range append(pages, "../README.md", "../docs/hoistctl.md", "../CONTRIBUTING.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, pattern := range []*regexp.Regexp{scriptName, testName} {
			for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
				if !existing[match[1]] {
					t.Errorf("%s refers to %s, which does not exist", page, match[1])
				}
			}
		}
		for _, match := range localLink.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s: broken link: %v", page, err)
			}
		}
	}
}

// existingTests returns the names of all test functions and scenario scripts.
func existingTests(t *testing.T) map[string]bool {
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && entry.Name() != "..":
			return filepath.SkipDir
		case strings.HasSuffix(path, ".txtar"):
			names[entry.Name()] = true
		case strings.HasSuffix(path, "_test.go"):
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, match := range testDeclaration.FindAllStringSubmatch(string(source), -1) {
				names[match[1]] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
