package configurer

import (
	"fmt"
	"strings"

	"crocustack/core/reporter"
)

// Defaults returns the settings of an empty file. Its required settings are
// empty.
func Defaults() Settings {
	var s Settings
	for _, d := range table {
		d.setDefault(&s)
	}
	return s
}

// Load reads settings from YAML. The file name is only used in findings. The
// error is a reporter.Findings that holds everything that is wrong.
func Load(file string, b []byte) (Settings, error) {
	s := Defaults()
	c := reporter.Decode(file, b, &s)
	for _, d := range table {
		if msg := d.check(&s); msg != "" {
			c.Addf(d.Name, "%s", msg)
		}
	}
	for i, seed := range s.Seeds {
		if msg := checkLink(seed); msg != "" {
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
	// Paths that are appended begin with a slash.
	s.Backend.URL = strings.TrimRight(s.Backend.URL, "/")
	s.Platform.URL = strings.TrimRight(s.Platform.URL, "/")
	return s, nil
}

// checkDistinct reports listeners that share an address. Port 0 is never
// shared.
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
