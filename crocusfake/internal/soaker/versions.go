package soaker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crocustack/platform/standin"
)

// versionInterval is the polling interval for a node's configuration version.
const versionInterval = 250 * time.Millisecond

// watchVersions polls a node until ctx ends to find out which configuration version
// is active: each version has a route that no other version has.
func (f *fleet) watchVersions(ctx context.Context, m *machine, j *judge) {
	var v versionWatch
	for n := 0; ctx.Err() == nil; n++ {
		run := m.startTime()
		newest := f.newestVersion()
		for _, version := range v.versionsToRequest(run, newest) {
			id := fmt.Sprintf("v-%s-%d-%d", m.address, n, version)
			r := j.send(f, m, standin.Request{
				ID: id, Method: http.MethodGet, Host: host, Target: fmt.Sprintf("/version/%d/x", version), Budget: time.Second,
			}, true)
			if !m.startTime().Equal(run) {
				break // The node was restarted, so the answers can't be compared.
			}
			if text := v.checkStatus(version, r.Status, f.newestVersion()); text != "" {
				j.breach("the node at %s %s", m.address, text)
			}
		}
		time.Sleep(versionInterval)
	}
}

// versionWatch checks the configuration versions that one run of a node serves.
type versionWatch struct {
	run time.Time
	// highest is the newest version that the run has served.
	highest int64
}

// versionsToRequest returns the versions to request: the newest one and, to detect a
// return to an older configuration, the one before the highest served. It resets v
// for a new run of the node.
func (v *versionWatch) versionsToRequest(run time.Time, newest int64) []int64 {
	if !v.run.Equal(run) {
		*v = versionWatch{run: run}
	}
	if v.highest <= 1 {
		return []int64{newest}
	}
	return []int64{newest, v.highest - 1}
}

// checkStatus records the status of a request on the route of a version, and returns a
// description of a violated guarantee, or "". newest is the last version published
// when the status arrived.
func (v *versionWatch) checkStatus(version int64, status int, newest int64) string {
	switch {
	case status == http.StatusOK && version < v.highest:
		return fmt.Sprintf("served version %d after version %d", version, v.highest)
	case status == http.StatusOK:
		v.highest = version
	case status == http.StatusNotFound && version == v.highest && newest == version:
		return fmt.Sprintf("denied version %d after it had served it", version)
	}
	return ""
}
