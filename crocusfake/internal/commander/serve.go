package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// serve serves HTTP until the context is done. It prints the listen address
// because the kernel chooses the port when port 0 is given.
func serve(ctx context.Context, out io.Writer, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_, _ = fmt.Fprintf(out, "listening on %s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func readYAML(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrapf(yaml.UnmarshalWithOptions(b, v, yaml.DisallowUnknownField()), "%s", file)
}
