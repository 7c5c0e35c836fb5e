package fake

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// SiteSettings holds the settings of a site with a retryable route, browse, and an at-most-once route, pay.
const SiteSettings = `{"extra":{"advert":"threshold","below":"none","calls-by-class":[false,false],
"class-skip-worth":[0.0,0.0],"cold":false,"cores":4,"gauges":["core_use","on_cores","heap_share","links"],
"halt":"suspend","idle":30000000,"passes-deadline":true,"ram-kb":60000.0,"run-factor":8.0},
"limits":{"max-retry-after":1000000,"retry-after":true},
"obligations":{"cold-share":0.2,"overload-factor":8.0,"stop-sending-within":400000,"warm-up":9000000},
"servers":3,"services":[
{"name":"browse","deadline":9000000,"goal-time":8000000,"gain":1.0,"idempotency":"retryable","late-value":0.0},
{"name":"pay","deadline":9000000,"goal-time":8000000,"gain":4.0,"idempotency":"fragile","late-value":0.0}],
"tenants":[],"value-by":"request"}`

// WriteConfig writes a daemon's configuration file to a temporary directory of the test, and returns its path.
func WriteConfig(t testing.TB, listen, pool, membership, site string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	RewriteConfig(t, path, listen, pool, membership, site)
	return path
}

// RewriteConfig overwrites the configuration file at path.
func RewriteConfig(t testing.TB, path, listen, pool, membership, site string) {
	t.Helper()
	RewriteConfigWithDependency(t, path, listen, pool, membership, "", site)
}

// RewriteConfigWithDependency is RewriteConfig with the address of a dependency, empty for none.
func RewriteConfigWithDependency(t testing.TB, path, listen, pool, membership, dependency, site string) {
	t.Helper()
	dependencyField := ""
	if dependency != "" {
		dependencyField = fmt.Sprintf(`"index":%q,`, dependency)
	}
	text := fmt.Sprintf(`{"name":"n1",`+dependencyField+`"listen":%q,"pool":%q,"members":%q,"seed":"1f","stop_ms":1500,
"limits":{"cores":1.0,"memory_mb":96,"sockets":256},"settings":%s}`, listen, pool, membership, site)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}
