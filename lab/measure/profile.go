package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"github.com/siskinford/siskinford/lab/procs"
)

// captureProfiles starts saving CPU profiles of the first entry and agent if
// --profiles is set. Callers wait on wg.
func (c *Path) captureProfiles(ctx context.Context, wg *sync.WaitGroup, cluster *procs.Cluster) {
	if c.profiles == "" {
		return
	}
	seconds := max(int(c.duration.Seconds())-1, 1)
	for name, operators := range map[string]string{
		"entry": cluster.Entries[0].OperatorURL,
		"agent": cluster.Endpoints[0].OperatorURL,
	} {
		url := fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", operators, seconds)
		wg.Go(func() {
			if err := download(ctx, url, filepath.Join(c.profiles, name+".prof")); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		})
	}
}

func download(ctx context.Context, url, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
