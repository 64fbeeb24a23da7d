package main_test

import (
	"go/ast"
	"go/parser"
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type (
	// codeNames are the names that the Go sources of the repository declare or write.
	codeNames struct {
		tests    map[string]bool            // Functions in test files.
		words    map[string]bool            // Identifiers and words in strings, outside tests.
		packages map[string]map[string]bool // Identifiers outside tests, by package.
	}
)

var (
	quoted     = regexp.MustCompile("`([^`\n]+)`")
	testName   = regexp.MustCompile(`^(Test|Benchmark|Fuzz|Example)[A-Z]\w*$`)
	qualified  = regexp.MustCompile(`^(\w+)\.([A-Z]\w*)(?:\.([A-Z]\w*))?$`)
	sourcePath = regexp.MustCompile(`^(internal|pkg|platform|deploy|schema|examples)/[\w./-]+$`)
	exported   = regexp.MustCompile(`^[A-Z][a-z]+([A-Z]\w*)?$`)
	word       = regexp.MustCompile(`\w+`)
)

// Guards against pages that name code which was renamed or removed.
func TestPagesNameExistingCode(t *testing.T) {
	names := readCode(t)
	pages, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, "README.md", "CHANGELOG.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			for _, match := range quoted.FindAllStringSubmatch(line, -1) {
				if !names.has(match[1]) {
					t.Errorf("%s:%d: %s does not exist", page, i+1, match[1])
				}
			}
		}
	}
}

// Guards against a check of the pages that accepts any name.
func TestUnknownNamesAreFound(t *testing.T) {
	is := is.New(t)
	names := readCode(t)
	for _, name := range []string{"TestNoSuchCase", "dispatch.NoSuchType", "internal/nosuch", "NoSuchConstant"} {
		is.True(!names.has(name))
	}
	for _, name := range []string{"TestPagesNameExistingCode", "dispatch.Request", "dispatch.Request.Method", "internal/dispatch", "BackendServer"} {
		is.True(names.has(name))
	}
}

// has reports whether a text of a page is no name of code, or names code that exists.
func (n *codeNames) has(text string) bool {
	switch parts := qualified.FindStringSubmatch(text); {
	case testName.MatchString(text):
		return n.tests[text]
	case parts != nil && n.packages[parts[1]] != nil:
		return n.packages[parts[1]][parts[2]] && (parts[3] == "" || n.packages[parts[1]][parts[3]])
	case sourcePath.MatchString(text):
		_, err := os.Stat(filepath.FromSlash(text))
		return err == nil
	case exported.MatchString(text):
		return n.words[text]
	default:
		return true
	}
}

// readCode reads the names of all Go files of the repository.
func readCode(t *testing.T) *codeNames {
	t.Helper()
	names := &codeNames{tests: map[string]bool{}, words: map[string]bool{}, packages: map[string]map[string]bool{}}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		return names.read(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func (n *codeNames) read(path string) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	inPackage := n.packages[file.Name.Name]
	if inPackage == nil {
		inPackage = map[string]bool{}
		n.packages[file.Name.Name] = inPackage
	}
	isTest := strings.HasSuffix(path, "_test.go")
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && isTest {
			n.tests[function.Name.Name] = true
		}
	}
	var tokens scanner.Scanner
	tokens.Init(files.AddFile(path, -1, len(source)), source, nil, 0)
	for {
		_, kind, text := tokens.Scan()
		switch kind {
		case token.EOF:
			return nil
		case token.IDENT:
			n.words[text] = n.words[text] || !isTest
			inPackage[text] = inPackage[text] || !isTest
		case token.STRING:
			for _, part := range word.FindAllString(text, -1) {
				n.words[part] = n.words[part] || !isTest
			}
		}
	}
}
