package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
)

const profileSeconds = 10

// recordProfiles writes CPU profiles of a core node and a proxy to ProfileDir. Errors are
// printed.
func (r *run) recordProfiles(ctx context.Context, tasks *sync.WaitGroup) {
	for _, m := range []*Machine{r.fleet.CoreMachines()[0], r.fleet.ProxyMachines()[0]} {
		tasks.Go(func() {
			if err := r.recordProfile(ctx, m); err != nil {
				r.logf("profiling %s failed: %v", m.Name, err)
			}
		})
	}
}

func (r *run) recordProfile(ctx context.Context, m *Machine) error {
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", m.address(portProfiles), profileSeconds)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	file, err := os.Create(filepath.Join(r.ProfileDir, m.Name+".pprof"))
	if err != nil {
		return err
	}
	if _, err := io.Copy(file, response.Body); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
