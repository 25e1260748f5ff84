//go:build review

package kit

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["8"] = playFirstVersion }

// playFirstVersion sends a first desired state whose version is 0 until it is acknowledged, and
// reads it back for ten seconds from all control hosts.
func playFirstVersion(r *run) (int, error) {
	version := 1
	if r.trouble {
		version = 0
	}
	y, err := startSystem(r, 3, 1)
	if err != nil {
		return 0, err
	}
	if _, err := startSearcher(r, "i-0", orderService, y.control, nil); err != nil {
		return 0, err
	}
	if err := y.publish(document(version)); err != nil {
		return 0, err
	}
	came, other := false, false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, a := range y.control {
			status, body := call(http.MethodGet, "http://"+a+"/v1/configuration", nil)
			var read struct {
				Version *int `json:"version"`
			}
			if status != http.StatusOK {
				r.note("read from %s: %d %.60s", a, status, body)
				continue
			}
			if err := json.Unmarshal(body, &read); err != nil || read.Version == nil || *read.Version != version {
				r.note("read from %s: another desired state", a)
				other = true
				continue
			}
			came = true
		}
	}
	c := &client{run: r, address: y.entry[0]}
	defer c.close()
	c.send("GET", orderHost, "/fetch/album", newID(), "", 2*time.Second)
	breaks := 0
	if !came || other {
		breaks++
		r.note("BROKEN: version %d was acknowledged and doesn't come when it is read back", version)
	}
	return breaks, nil
}
