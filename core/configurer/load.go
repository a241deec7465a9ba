package configurer

import (
	"fmt"
	"strings"

	"crocustack/core/reporter"
)

// Defaults returns the default settings. Required settings are empty in them.
func Defaults() Settings {
	var s Settings
	for _, d := range table {
		d.setDefault(&s)
	}
	return s
}

// Load parses and checks settings in YAML. The file name is used only in
// findings. The error is a reporter.Findings with all faults.
func Load(file string, b []byte) (Settings, error) {
	s := Defaults()
	c := reporter.Decode(file, b, &s)
	for _, d := range table {
		if msg := d.check(&s); msg != "" {
			c.Addf(d.Name, "%s", msg)
		}
	}
	for i, seed := range s.Seeds {
		if msg := checkDialable(seed); msg != "" {
			c.Addf(fmt.Sprintf("Seeds[%d]", i), "%s", msg)
		}
	}
	if s.Limits.BufferBytes < s.Limits.MaxBodyBytes {
		c.Addf("Limits.BufferBytes", "must be at least Limits.MaxBodyBytes, which is %s", s.Limits.MaxBodyBytes)
	}
	checkDistinct(c, s.Node)
	if err := c.Err(); err != nil {
		return Settings{}, err
	}
	// The paths appended to these URLs begin with a slash.
	s.Backend.URL = strings.TrimRight(s.Backend.URL, "/")
	s.Platform.URL = strings.TrimRight(s.Platform.URL, "/")
	return s, nil
}

// checkDistinct reports listeners that share an address. Listeners on port 0
// never do, because the kernel assigns each its own port.
func checkDistinct(c *reporter.Collector, n Node) {
	seen := make(map[string]string)
	for _, a := range []struct{ name, address string }{
		{"Node.Link", n.Link}, {"Node.Entry", n.Entry}, {"Node.Outbound", n.Outbound}, {"Node.Ready", n.Ready}, {"Node.Admin", n.Admin},
	} {
		if a.address == "" || hasPortZero(a.address) {
			continue
		}
		if first, ok := seen[a.address]; ok {
			c.Addf(a.name, "has the same address as %s", first)
			continue
		}
		seen[a.address] = a.name
	}
}
