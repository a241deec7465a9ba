package commander

import (
	"context"
	"io"

	"crocustack/crocusfake/internal/worker"
)

var backendVerb = verb{
	name:    "backend",
	summary: "run a stand-in for a backend server",
	description: `Serves the routes of the settings file, /health and /load. Settings (YAML):
  Service: ksiegi
  Instance: ksiegi-1
  Slots: 8                 # requests that run at the same time
  Connections: 64          # running and waiting requests
  Outbound: 127.0.0.1:7003 # outbound listener of its node
  Spread: 0.2              # sigma of the log-normal service time
  Cold: 0s                 # slow start, health says Starting
  ReportLag: 0s            # delay of health and load
  Mislead: false           # health always Ready, load always 0
  Seed: 1
  Routes:
  - {Method: GET, Path: /lookup, Mean: 10ms, Idempotent: true,
     Calls: [{Service: archiwum, Method: GET, Path: /browse}]}
Switches while it runs (POST unless said otherwise):
  /control/slow/{factor}       multiply the time of the service's own work
  /control/pause/{true|false}  stop all progress
  /control/drain/{true|false}  refuse new requests
  GET /control/ledger          every run so far`,
	create: func() command { return &backendCommand{} },
}

type backendCommand struct {
	Listen   string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Settings string `long:"settings" required:"true" description:"YAML file that describes the backend server"`
}

func (c *backendCommand) Run(ctx context.Context, out io.Writer) error {
	var cfg worker.Config
	if err := readYAML(c.Settings, &cfg); err != nil {
		return err
	}
	w, err := worker.New(cfg)
	if err != nil {
		return err
	}
	defer w.Close()
	return serve(ctx, out, c.Listen, w.Handler())
}
