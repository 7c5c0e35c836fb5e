package quartzpoint_test

import (
	"os"
	"path"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A page that sends a reader to a file that was renamed costs minutes at night. Each path in backticks on the pages that
// show where things are, relative to the root or, as a file's bare name, to the directory named just before it, exists.
func TestPagesNamePathsThatExist(t *testing.T) {
	code := regexp.MustCompile("`([a-z]+(?:/[a-zA-Z0-9_.-]*)*|[a-z]+\\.go)`")
	for _, page := range []string{"README.md", "docs/architecture.md", "docs/glossary.md"} {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		found := 0
		for number, line := range strings.Split(string(text), "\n") {
			directory := "admission" // the rules of the decisions are named by file
			for _, match := range code.FindAllStringSubmatch(line, -1) {
				name := strings.TrimSuffix(match[1], "/")
				isFile := strings.HasSuffix(name, ".go") && !strings.Contains(name, "/")
				switch {
				case isFile:
					name = path.Join(directory, name)
				case !strings.Contains(name, "/"):
					continue // a word of the protocol, or a package's name alone
				case strings.HasPrefix(name, "bin/"):
					continue // built
				default:
					directory = path.Dir(name + "/x")
					if strings.HasSuffix(name, ".go") {
						directory = path.Dir(name)
					}
				}
				found++
				_, err := os.Stat(name)
				assert.NoError(t, err, "%s:%d: %s", page, number+1, name)
			}
		}
		assert.Positive(t, found, page)
	}
}
