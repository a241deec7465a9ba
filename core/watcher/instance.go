package watcher

import (
	"net/netip"
	"strconv"

	"crocustack/core/encoder"
	"crocustack/core/reporter"
)

//go:generate stringer -type=State -trimprefix=State

// State is the state of an instance in the platform's list. The order matters:
// of two records with the same version, the one with the higher state wins.
type State int

// The states.
const (
	StateLive State = iota
	StateLeaving
	StateGone // Absent from a list that is newer than its record.
)

// Instance is the record of one instance in the platform's list.
type Instance struct {
	Service, Address, Domain, Region string
	State                            State
	// Version is the version of the platform value that held the record.
	Version uint64
}

// Encode converts an instance to its message.
func (i Instance) Encode() *encoder.Instance {
	return &encoder.Instance{
		Service: i.Service, Address: i.Address, Domain: i.Domain, Region: i.Region,
		State: encoder.InstanceState(i.State + 1), Version: i.Version,
	}
}

// DecodeInstance converts a message to an instance, and returns false when the
// message isn't a valid record.
func DecodeInstance(m *encoder.Instance) (Instance, bool) {
	i := Instance{
		Service: m.GetService(), Address: m.GetAddress(), Domain: m.GetDomain(), Region: m.GetRegion(),
		State: State(m.GetState()) - 1, Version: m.GetVersion(),
	}
	_, err := netip.ParseAddrPort(i.Address)
	return i, i.Service != "" && i.Domain != "" && err == nil && i.State >= StateLive && i.State <= StateGone
}

type instanceWire struct {
	Service string `yaml:"Service"`
	Address string `yaml:"Address"`
	Domain  string `yaml:"Domain"`
	Region  string `yaml:"Region"`
	State   string `yaml:"State"`
}

// maxValueBytes is the size in bytes of the largest value that the platform
// stores.
const maxValueBytes = 1 << 20

// ParseInstances parses the value of instances/<domain>. The records have
// version 0; Table.WithList sets it. The error is a reporter.Findings.
func ParseInstances(b []byte) ([]Instance, error) {
	const name = "instances"
	if len(b) > maxValueBytes {
		return nil, reporter.Findings{{File: name, Message: "document exceeds the limit of " + strconv.Itoa(maxValueBytes) + " bytes"}}
	}
	var list []instanceWire
	c := reporter.Decode(name, b, &list)
	out := make([]Instance, 0, len(list))
	seen := make(map[key]bool)
	for k, w := range list {
		at := "[" + strconv.Itoa(k) + "]"
		i := Instance{Service: w.Service, Address: w.Address, Domain: w.Domain, Region: w.Region}
		for _, f := range []struct{ name, value string }{{"Service", w.Service}, {"Domain", w.Domain}, {"Region", w.Region}} {
			if f.value == "" {
				c.Addf(at+"."+f.name, "is missing")
			}
		}
		if _, err := netip.ParseAddrPort(w.Address); err != nil {
			c.Addf(at+".Address", "%q is not an IP address with a port", w.Address)
		}
		switch w.State {
		case StateLive.String():
		case StateLeaving.String():
			i.State = StateLeaving
		default:
			c.Addf(at+".State", "%q is not one of Live, Leaving", w.State)
		}
		if seen[i.key()] {
			c.Addf(at, "%s at %s appears twice", w.Service, w.Address)
		}
		seen[i.key()] = true
		out = append(out, i)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return out, nil
}
