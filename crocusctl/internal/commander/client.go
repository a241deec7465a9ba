package commander

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"crocustack/core/releaser"
	"crocustack/core/reporter"
)

// maxReply is the maximum size of a reply in bytes. The largest value of the
// platform is 1 MB; the recent decisions of a node can be larger.
const maxReply = 32 << 20

// maxParallel limits the concurrent requests to nodes, so that a fleet of 3,000
// nodes does not need 3,000 open files.
const maxParallel = 64

// errNotFound is returned for HTTP status 404.
var errNotFound = errors.New("not found")

// NodeOptions selects nodes.
type NodeOptions struct {
	Nodes     []string      `long:"node" value-name:"HOST:PORT" env:"CROCUSCTL_NODES" env-delim:"," description:"Admin address of a node; repeat it for several"`
	Platform  string        `long:"platform" value-name:"URL" description:"Read release and instance lists from the platform"`
	AdminPort uint16        `long:"admin-port" default:"7103" description:"Admin port of the instances that the platform lists"`
	Timeout   time.Duration `long:"timeout" default:"5s" description:"Time for one request to a node or the platform"`
}

// addresses returns the admin addresses of the nodes. The platform lists link
// addresses; the admin API is assumed to listen on the same host at
// --admin-port.
func (o NodeOptions) addresses(ctx context.Context, env *environment) ([]string, error) {
	if o.Platform == "" {
		if len(o.Nodes) == 0 {
			return nil, exitf(exitUsage, "name nodes with --node HOST:PORT, or the platform with --platform URL")
		}
		return o.Nodes, nil
	}
	document, err := o.readKey(ctx, env, "release/current")
	if err != nil {
		return nil, exitf(exitUnreachable, "platform: release/current: %v", err)
	}
	_, catalogue, err := releaser.ParseDocument(document)
	if err != nil {
		return nil, exitf(exitFindings, "platform: %v", err)
	}
	out := o.Nodes
	seen := make(map[string]bool)
	for _, item := range catalogue.Section(releaser.DomainsSection) {
		var domain struct{ Name string }
		if err := json.Unmarshal([]byte(item.Value), &domain); err != nil {
			return nil, err
		}
		key := "instances/" + domain.Name
		list, err := o.readKey(ctx, env, key)
		if errors.Is(err, errNotFound) {
			continue
		}
		if err != nil {
			return nil, exitf(exitUnreachable, "platform: %s: %v", key, err)
		}
		var instances []instance
		if err := reporter.Decode(key, list, &instances).Err(); err != nil {
			return nil, exitf(exitFindings, "platform: %v", err)
		}
		for _, i := range instances {
			host, _, err := net.SplitHostPort(i.Address)
			if err != nil {
				return nil, exitf(exitFindings, "platform: %s: %v", key, err)
			}
			address := net.JoinHostPort(host, strconv.Itoa(int(o.AdminPort)))
			if !seen[address] {
				seen[address] = true
				out = append(out, address)
			}
		}
	}
	return out, nil
}

// instance is one entry of the platform's instance list.
type instance struct {
	Service string `yaml:"Service"`
	Address string `yaml:"Address"`
	Domain  string `yaml:"Domain"`
	Region  string `yaml:"Region"`
	State   string `yaml:"State"`
}

// readKey reads the value of a key from the platform.
func (o NodeOptions) readKey(ctx context.Context, env *environment, key string) ([]byte, error) {
	return o.request(ctx, env, http.MethodGet, strings.TrimRight(o.Platform, "/")+"/v1/keys/"+key)
}

// adminRequest sends a request to the admin API of one node.
func (o NodeOptions) adminRequest(ctx context.Context, env *environment, method, address, path string) ([]byte, error) {
	return o.request(ctx, env, method, "http://"+address+path)
}

func (o NodeOptions) request(ctx context.Context, env *environment, method, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := env.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // The body was read; an error from Close loses no data.
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxReply:
		return nil, errors.Newf("reply is larger than %d bytes", maxReply)
	case resp.StatusCode == http.StatusNotFound:
		return nil, errNotFound
	case resp.StatusCode/100 != 2:
		return nil, errors.Newf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(b[:min(len(b), 200)])))
	}
	return b, nil
}

// reply is the result of a request to one node.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// fetch sends GET requests for a path to all nodes concurrently. The replies
// are in the order of the addresses.
func fetch[T any](ctx context.Context, env *environment, o NodeOptions, addresses []string, path string) []reply[T] {
	replies := make([]reply[T], len(addresses))
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for i, address := range addresses {
		g.Go(func() error {
			r := reply[T]{address: address}
			var b []byte
			if b, r.err = o.adminRequest(ctx, env, http.MethodGet, address, path); r.err == nil {
				if r.err = json.Unmarshal(b, &r.value); r.err != nil {
					r.err = errors.Wrapf(r.err, "GET %s", path)
				}
			}
			replies[i] = r
			return nil
		})
	}
	_ = g.Wait() // Errors are stored in the replies.
	return replies
}

// Unreachable is a node that returned no usable reply.
type Unreachable struct{ Node, Error string }

// splitReplies separates the successful replies from the failed ones.
func splitReplies[T any](replies []reply[T]) (good []reply[T], bad []Unreachable) {
	for _, r := range replies {
		if r.err != nil {
			bad = append(bad, Unreachable{r.address, r.err.Error()})
			continue
		}
		good = append(good, r)
	}
	return good, bad
}

func printUnreachable(w io.Writer, bad []Unreachable) {
	for _, u := range bad {
		printf(w, "unreachable: %s: %s\n", u.Node, u.Error)
	}
}
