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

// Guards against pages that point to files which were renamed or removed. Each path in backticks on these pages must
// exist, relative to the root; a bare file name is relative to the directory of the path before it on the line, or to
// admission.
func TestPagesNamePathsThatExist(t *testing.T) {
	code := regexp.MustCompile("`([a-z]+(?:/[a-zA-Z0-9_.-]*)*|[a-z]+\\.go)`")
	for _, page := range []string{"README.md", "docs/architecture.md", "docs/glossary.md"} {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		found := 0
		for number, line := range strings.Split(string(text), "\n") {
			directory := "admission" // directory of the files that the pages name without a path
			for _, match := range code.FindAllStringSubmatch(line, -1) {
				name := strings.TrimSuffix(match[1], "/")
				isFile := strings.HasSuffix(name, ".go") && !strings.Contains(name, "/")
				switch {
				case isFile:
					name = path.Join(directory, name)
				case !strings.Contains(name, "/"):
					continue // a field of a protocol, or a bare package name
				case strings.HasPrefix(name, "bin/"):
					continue // build output
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
