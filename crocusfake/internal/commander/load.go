package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/crocusfake/internal/judger"
	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

var loadVerb = verb{
	name:    "load",
	summary: "run callers against entry listeners",
	description: `Offers requests for a time, then prints figures by class. With --ledger it also
compares the records with the ledgers of the backend servers; it then exits
non-zero on a breach. Latencies in JSON are in nanoseconds. Settings (YAML):
  Name: callers
  Entries: ["127.0.0.1:7001"]
  Rate: 100         # arrivals per second
  Retries: 0        # repeats after a failed try
  Backoff: 20ms
  Seed: 1
  Kinds:
  - {Name: lookup, Class: Standard, Service: ksiegi, Method: GET, Path: /lookup,
     Share: 1, Timeout: 1s, BodySize: 0, Ticket: false, Key: false}`,
	create: func() command { return &loadCommand{} },
}

type loadCommand struct {
	Settings  string        `long:"settings" required:"true" description:"YAML file that describes the callers"`
	Duration  time.Duration `long:"duration" default:"10s" description:"time to offer requests"`
	Ledgers   []string      `long:"ledger" description:"base URL of a backend server to judge against, repeatable"`
	Allowance int           `long:"allowance" default:"-1" description:"retries that one call tree may make; -1 checks nothing"`
	Output    string        `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

func (c *loadCommand) Run(ctx context.Context, out io.Writer) error {
	var cfg loader.Config
	if err := readYAML(c.Settings, &cfg); err != nil {
		return err
	}
	if len(cfg.Entries) == 0 || len(cfg.Kinds) == 0 {
		return errors.Newf("%s: Entries and Kinds must not be empty", c.Settings)
	}
	l := loader.New(cfg)
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	l.Run(ctx)
	records := l.Records()
	var result struct {
		Seed    uint64
		Classes map[string]*loader.Summary
		Verdict *judger.Verdict `json:",omitempty"`
	}
	result.Seed = cfg.Seed
	result.Classes = make(map[string]*loader.Summary)
	for _, k := range cfg.Kinds {
		result.Classes[k.Class] = loader.Summarize(records, func(r loader.Record) bool { return r.Class == k.Class })
	}
	if len(c.Ledgers) > 0 {
		ledgers, err := fetchLedgers(c.Ledgers)
		if err != nil {
			return err
		}
		v := judger.Judge(ledgers, records, c.Allowance)
		result.Verdict = &v
	}
	if c.Output == "json" {
		if err := json.NewEncoder(out).Encode(result); err != nil {
			return errors.Wrap(err, "print result")
		}
	} else {
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintf(t, "seed %d\nClass\tOffered\tWhole\tShare\tp50\tp99\tp99.9\tOutcomes\n", cfg.Seed)
		for _, class := range slices.Sorted(maps.Keys(result.Classes)) {
			s := result.Classes[class]
			_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%v\t%v\t%v\t%v\n", class, s.Offered, s.Good, s.Share, s.P50, s.P99, s.P999, s.Outcomes)
		}
		_ = t.Flush()
		if result.Verdict != nil {
			_, _ = fmt.Fprintf(out, "verdict %+v\n", *result.Verdict)
		}
	}
	if result.Verdict != nil && result.Verdict.Breaches() > 0 {
		return errors.Newf("%d breaches", result.Verdict.Breaches())
	}
	return nil
}

func fetchLedgers(urls []string) ([]worker.Entries, error) {
	var all []worker.Entries
	for _, u := range urls {
		resp, err := http.Get(u + "/control/ledger")
		if err != nil {
			return nil, errors.Wrap(err, "fetch ledger")
		}
		var e worker.Entries
		err = json.NewDecoder(resp.Body).Decode(&e)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "decode ledger of %s", u)
		}
		all = append(all, e)
	}
	return all, nil
}
