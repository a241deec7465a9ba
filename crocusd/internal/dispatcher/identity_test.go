package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"crocustack/core/authenticator"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/tracer"
)

// fixedRationer admits requests of all organisations but one.
type fixedRationer struct{ limited string }

func (f fixedRationer) Acquire(_ context.Context, organisation string) (bool, time.Duration) {
	return organisation != f.limited, 700 * time.Millisecond
}

func keyedConfig() connector.Config {
	organisation := func(name string, rank int) connector.Organisation {
		return connector.Organisation{Name: name, Keys: []connector.KeyHash{authenticator.HashKey("k-" + name)}, Ranked: true, Rank: rank}
	}
	c := config(7, 0)
	c.Keyed, c.Organisations = true, []connector.Organisation{organisation("a", 1), organisation("b", 1), organisation("top", 0), organisation("low", 2)}
	open := c.Routes[0]
	open.Name, open.Prefix, open.Open = "open", "/open/", true
	c.Routes = append(c.Routes, open)
	return c
}

// TestIdentify guards against a key that is accepted without evidence that the
// configuration is current, a call that is refused for want of a key, and a client that
// passes for a call by the form of its id.
func TestIdentify(t *testing.T) {
	for _, c := range []struct {
		name              string
		key, parent, path string
		proven            bool
		organisation      string
		want              resolver.Reason
	}{
		{"known", "k-a", "", "/x/1", true, "a", resolver.ReasonNone},
		{"known, not proven", "k-a", "", "/x/1", false, "", resolver.ReasonKeysUnproven},
		{"unknown", "k-none", "", "/x/1", true, "", resolver.ReasonUnknownKey},
		{"unknown, not proven", "k-none", "", "/x/1", false, "", resolver.ReasonKeysUnproven},
		{"none", "", "", "/x/1", true, "", resolver.ReasonUnknownKey},
		{"open route", "", "", "/open/1", false, "", resolver.ReasonNone},
		{"open route with a key", "k-b", "", "/open/1", true, "b", resolver.ReasonNone},
		{"open route, not proven", "k-b", "", "/open/1", false, "", resolver.ReasonNone},
		{"call of a run", "", "run", "/x/1", false, "", resolver.ReasonNone},
		{"call of an unknown run", "", "other", "/x/1", true, "", resolver.ReasonKeysUnproven},
		{"no route", "k-a", "", "/y/1", true, "", resolver.ReasonUnknownKind},
	} {
		keys := Keys{Proven: func(version int64) bool { return c.proven && version == 7 }, Limits: fixedRationer{}}
		runs := tracer.NewRegistry()
		runs.Add(&tracer.Run{Token: "run", TraceID: "t"})
		d := New(&fakeForwarder{}, runs, recorder.New(logr.Discard(), 8), keys)
		d.SetConfig(keyedConfig())
		in := inbound(time.Second)
		in.Key, in.Parent, in.Path = c.key, c.parent, c.path
		id, reason := d.Identify(in)
		if reason != c.want || reason == resolver.ReasonNone && id != (connector.Identity{Keyed: true, Organisation: c.organisation}) {
			t.Errorf("%s: %+v, %v, want %q, %v", c.name, id, reason, c.organisation, c.want)
		}
	}
}

// TestOrganisationsInDispatch guards against an organisation that goes on beyond its
// limit, also with ids that look like those of calls, and against a rank that is ignored.
func TestOrganisationsInDispatch(t *testing.T) {
	f := &fakeForwarder{outcome: resolver.Ran{Status: 200}}
	d := New(f, tracer.NewRegistry(), recorder.New(logr.Discard(), 8), Keys{Limits: fixedRationer{limited: "b"}})
	d.SetConfig(keyedConfig())
	in := inbound(time.Second)
	for name, want := range map[string]classifier.Class{"a": classifier.ClassStandard, "top": classifier.ClassCritical, "low": classifier.ClassBulk} {
		in.Identity = connector.Identity{Keyed: true, Organisation: name}
		d.Dispatch(context.Background(), in, &abortSink{})
		if f.got.Class != want || f.got.Organisation != name {
			t.Errorf("%s: class %v on behalf of %q, want %v", name, f.got.Class, f.got.Organisation, want)
		}
	}
	in.Identity.Organisation = "b"
	for _, parent := range []string{"", "till7"} { // No request till7 is running.
		in.Parent = parent
		v, ok := d.Dispatch(context.Background(), in, &abortSink{}).(connector.Refused)
		if !ok || v.Reason != resolver.ReasonOrganisationLimited || v.RetryAfter < 700*time.Millisecond {
			t.Errorf("beyond the limit, parent %q: %+v", parent, v)
		}
	}
}
