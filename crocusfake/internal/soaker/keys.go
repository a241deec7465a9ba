package soaker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crocustack/core/authenticator"
	"crocustack/core/connector"
	"crocustack/platform/standin"
)

const (
	// soakOrganisation is the organisation of the ordinary requests. limited is one with
	// a rate limit of limitedRate requests a second and as large a burst.
	soakOrganisation = "soaker"
	limited          = "limited"
	limitedRate      = 10
	// versionPrefix begins the name of the organisation that only one version has.
	versionPrefix = "only-"
	// revokeTime is the agreed time after which a key that was taken away is accepted by
	// no node.
	revokeTime = 5 * time.Second
	// keyInterval is the interval between two requests with a key that was taken away.
	keyInterval = 200 * time.Millisecond
)

// versionOrganisation returns the organisation that only one version has.
func versionOrganisation(version int64) string { return fmt.Sprint(versionPrefix, version) }

// organisations returns the organisations of a version.
func organisations(version int64) []connector.Organisation {
	organisation := func(name string, rate float64) connector.Organisation {
		return connector.Organisation{Name: name, Keys: []connector.KeyHash{authenticator.HashKey(standin.Key(name))}, RatePerSecond: rate, Burst: rate}
	}
	return []connector.Organisation{organisation(soakOrganisation, 0), organisation(limited, limitedRate), organisation(versionOrganisation(version), 0)}
}

// sendRevoked sends requests with keys that were taken away longer than revokeTime ago,
// at all nodes in turn, until ctx ends. None may run.
func (f *fleet) sendRevoked(ctx context.Context, j *judge) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(keyInterval)
		version, ok := f.revokedVersion(time.Now())
		if !ok {
			continue
		}
		m := f.machines[n%len(f.machines)]
		r := j.send(f, m, standin.Request{
			ID: fmt.Sprintf("k-%d", n), Method: http.MethodGet, Host: host, Target: "/read/x", Budget: time.Second, Key: standin.Key(versionOrganisation(version)),
		}, true)
		if r.Status == http.StatusOK {
			j.breach("the node at %s accepted the key of version %d, replaced over %v before", m.address, version, revokeTime)
		}
	}
}

// revokedVersion returns the newest version that was replaced longer than revokeTime ago.
func (f *fleet) revokedVersion(now time.Time) (version int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for v := f.version - 1; v > 0; v-- {
		if replaced := f.publishedAt[v+1]; !replaced.IsZero() && now.Sub(replaced) > revokeTime {
			return v, true
		}
	}
	return 0, false
}

// sendLimited sends requests of the limited organisation at three times its rate, at all
// nodes in turn, until ctx ends.
func (f *fleet) sendLimited(ctx context.Context, j *judge) {
	ticker := time.NewTicker(time.Second / (3 * limitedRate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		m := f.machines[n%len(f.machines)]
		go j.send(f, m, standin.Request{
			ID: fmt.Sprintf("l-%d", n), Method: http.MethodGet, Host: host, Target: "/read/x", Budget: time.Second, Key: standin.Key(limited),
		}, true)
	}
}

// limitWindow is the window in which the requests of an organisation are counted, and
// limitOverage and limitSlack are what is agreed beyond its limit.
const (
	limitWindow  = 5 * time.Second
	limitOverage = 0.25
	limitSlack   = 20
)

// checkLimit checks the runs of the limited organisation at all backend servers. The
// caller holds mu.
func (j *judge) checkLimit(at []time.Time) {
	agreed := (limitedRate*limitWindow.Seconds()+limitedRate)*(1+limitOverage) + limitSlack
	from := 0
	for to := range at {
		for at[to].Sub(at[from]) >= limitWindow {
			from++
		}
		if n := to - from + 1; float64(n) > agreed {
			j.breachLocked("%d requests of an organisation ran in %v, %.0f are agreed", n, limitWindow, agreed)
			return
		}
	}
}
