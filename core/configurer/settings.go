package configurer

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/goccy/go-yaml"
)

// Settings holds the settings of one node. Table describes each of them.
type Settings struct {
	Node     Node     `yaml:"Node"`
	Backend  Backend  `yaml:"Backend"`
	Platform Platform `yaml:"Platform"`
	// Seeds holds the link addresses of peers that are asked for state at
	// startup.
	Seeds        []string      `yaml:"Seeds"`
	Policy       Policy        `yaml:"Policy"`
	DrainTimeout time.Duration `yaml:"DrainTimeout"`
	Limits       Limits        `yaml:"Limits"`
	Timing       Timing        `yaml:"Timing"`
	Routing      Routing       `yaml:"Routing"`
	Log          Log           `yaml:"Log"`
}

// Node identifies the node and holds the addresses on which it listens.
type Node struct {
	Service  string `yaml:"Service"`
	Domain   string `yaml:"Domain"`
	Region   string `yaml:"Region"`
	Link     string `yaml:"Link"`
	Listen   string `yaml:"Listen"`
	Entry    string `yaml:"Entry"`
	Outbound string `yaml:"Outbound"`
	// Ready is the listener for the platform's readiness probes. It is used
	// only when Platform.Hosted is set.
	Ready string `yaml:"Ready"`
	Admin string `yaml:"Admin"`
}

// Backend describes the node's local backend server.
type Backend struct {
	URL        string `yaml:"URL"`
	HealthPath string `yaml:"HealthPath"`
	// SlotsHint overrides the slots of the release note when it is above 0.
	SlotsHint int `yaml:"SlotsHint"`
}

// Platform describes the source of release notes and instance lists.
type Platform struct {
	URL string `yaml:"URL"`
	// Hosted selects the users' platform: requests come from it, and its
	// metadata store at URL provides the configuration and the members in place
	// of release notes and instance lists.
	Hosted bool `yaml:"Hosted"`
	// Bounds holds the agreed bounds as strings of the form name=value.
	Bounds []string `yaml:"Bounds"`
	// Regions holds the region of each failure domain as strings of the form
	// domain=region.
	Regions []string `yaml:"Regions"`
}

// Limits holds the settings that bound the memory of the node.
type Limits struct {
	// Memory is the memory of the process, or 0 if it is not bounded.
	Memory Bytes `yaml:"Memory"`
	// Descriptors is the number of descriptors of the process, or 0 for the limit of
	// the operating system.
	Descriptors     int           `yaml:"Descriptors"`
	MaxBodyBytes    Bytes         `yaml:"MaxBodyBytes"`
	BufferBytes     Bytes         `yaml:"BufferBytes"`
	HoldAnswerBytes Bytes         `yaml:"HoldAnswerBytes"`
	MaxRecords      int           `yaml:"MaxRecords"`
	MaxAnswerBytes  Bytes         `yaml:"MaxAnswerBytes"`
	TicketLifetime  time.Duration `yaml:"TicketLifetime"`
}

// Timing holds intervals and time-outs.
type Timing struct {
	SilentAfter    time.Duration `yaml:"SilentAfter"`
	AbandonAfter   time.Duration `yaml:"AbandonAfter"`
	PauseThreshold time.Duration `yaml:"PauseThreshold"`
	LinkIdle       time.Duration `yaml:"LinkIdle"`
	AntiEntropy    time.Duration `yaml:"AntiEntropy"`
	WatchWait      time.Duration `yaml:"WatchWait"`
}

// Routing holds the settings of the choice of upstreams.
type Routing struct {
	// CrossDomainCost is what it costs more to send a request to another failure
	// domain, as a fraction of what a request costs there; 0 for the choice between
	// the domains for all requests at once.
	CrossDomainCost float64 `yaml:"CrossDomainCost"`
}

// Log selects the lines that are logged and their format.
type Log struct {
	Level     string `yaml:"Level"`
	Format    string `yaml:"Format"`
	Decisions bool   `yaml:"Decisions"`
}

//go:generate stringer -type=Policy -trimprefix=Policy

// Policy selects the overload and retry control of a node.
type Policy int

// The policies.
const (
	PolicyAdaptive    Policy = iota // All controls: limits, priorities and shared retry allowances.
	PolicyPassThrough               // Fixed retries at each hop, no limits, no priorities; the baseline of experiments.
)

const numPolicies = int(PolicyPassThrough) + 1

// UnmarshalYAML reads the name of a policy.
func (p *Policy) UnmarshalYAML(b []byte) error {
	var s string
	if err := yaml.Unmarshal(b, &s); err != nil {
		return err
	}
	for v := range Policy(numPolicies) {
		if v.String() == s {
			*p = v
			return nil
		}
	}
	return fmt.Errorf("unknown policy %q, want Adaptive or PassThrough", s)
}

// Bytes is a number of bytes. In YAML it is a number or a string with a unit
// such as 64MB (of 1,000,000 bytes) or 64MiB (of 1,048,576 bytes).
type Bytes int64

// String formats the size with a decimal unit.
func (n Bytes) String() string { return humanize.Bytes(uint64(n)) }

// UnmarshalYAML reads a number of bytes with or without a unit.
func (n *Bytes) UnmarshalYAML(b []byte) error {
	var s string
	if err := yaml.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := humanize.ParseBytes(s)
	if err != nil || v > 1<<62 {
		return fmt.Errorf("expected a size such as 64MB, found %q", s)
	}
	*n = Bytes(v)
	return nil
}
