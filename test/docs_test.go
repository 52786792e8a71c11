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

const operationsPages = "../docs/operations/*.md"

// kindRow matches a row of the table of kinds: name, status, run state and Retry-After.
var kindRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| `([a-z_]+)` \\| (-|\\d+) \\| [^|]+ \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|$")

// TestRefusalsPage guards against an error kind that operators find no page for, and
// against a page that contradicts the answers of the gateway.
func TestRefusalsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/refusals.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string][]string{}
	for _, row := range kindRow.FindAllStringSubmatch(string(page), -1) {
		if rows[row[1]] != nil {
			t.Errorf("%s has two rows", row[1])
		}
		rows[row[1]] = row[2:]
	}
	for _, kind := range errkind.All() {
		answer, retryAfter := kind.Response(), "-"
		if answer.RetryAfter > 0 {
			retryAfter = fmt.Sprint(int(answer.RetryAfter.Seconds()))
		}
		want := []string{fmt.Sprint(answer.Status), answer.RunState.String(), retryAfter}
		if got := rows[answer.Name]; strings.Join(got, " ") != strings.Join(want, " ") {
			t.Errorf("%s: the page has status, run and Retry-After %v, the gateway %v", answer.Name, got, want)
		}
		delete(rows, answer.Name)
	}
	for name := range rows {
		t.Errorf("the page has a row for %s, which is no kind", name)
	}
}

var (
	namedScript = regexp.MustCompile(`\b([a-z_]+\.txtar)\b`)
	namedTest   = regexp.MustCompile(`\b((?:Test|Fuzz|Example)[A-Z]\w+)\b`)
	declared    = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Example)[A-Z]\w+)\(`)
	localLink   = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// TestPagesNameWhatExists guards against pages that rest on a test or script which was
// renamed or removed, and against dead links.
func TestPagesNameWhatExists(t *testing.T) {
	known := evidence(t)
	pages, err := filepath.Glob(operationsPages)
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	for _, page := range append(pages, "../README.md", "../docs/hoistctl.md", "../CONTRIBUTING.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, pattern := range []*regexp.Regexp{namedScript, namedTest} {
			for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
				if !known[match[1]] {
					t.Errorf("%s names %s, which does not exist", page, match[1])
				}
			}
		}
		for _, match := range localLink.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s: dead link: %v", page, err)
			}
		}
	}
}

// evidence returns the names of all test functions and scripts.
func evidence(t *testing.T) map[string]bool {
	known := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && entry.Name() != "..":
			return filepath.SkipDir
		case strings.HasSuffix(path, ".txtar"):
			known[entry.Name()] = true
		case strings.HasSuffix(path, "_test.go"):
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, match := range declared.FindAllStringSubmatch(string(source), -1) {
				known[match[1]] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return known
}
