package configurer

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Setting describes one setting. The defaults and checks of Load and the table
// in docs/OPERATIONS.md are derived from it.
type Setting struct {
	// Name is the path of the setting, such as Limits.MaxBodyBytes.
	Name, Unit string
	// Default is empty for a required setting.
	Default string
	Range   string
	About   string
	// setDefault sets the default.
	setDefault func(*Settings)
	// check returns a message that describes the fault of the value, or an
	// empty string.
	check func(*Settings) string
}

// Accepted values of Log.Level and Log.Format.
var (
	LogLevels  = []string{"Error", "Info", "Debug"}
	LogFormats = []string{"JSON", "Console"}
)

// Table returns all settings in the order of the fields of Settings.
func Table() []Setting { return slices.Clone(table) }

var table = []Setting{
	required("Node.Service", "name", func(s *Settings) *string { return &s.Node.Service }, checkName,
		"Service that the backend server is an instance of."),
	required("Node.Domain", "name", func(s *Settings) *string { return &s.Node.Domain }, checkName,
		"Failure domain of the instance; it names the platform key instances/<domain>."),
	required("Node.Region", "name", func(s *Settings) *string { return &s.Node.Region }, checkName,
		"Region of the failure domain."),
	required("Node.Link", "host:port", func(s *Settings) *string { return &s.Node.Link }, checkDialable,
		"Address for links from other nodes, as in the instance list. Peers dial it, so the host can't be left out."),
	{Name: "Node.Listen", Unit: "host:port", Default: "Node.Link", Range: "host and port",
		About:      "Listener for links when Node.Link is the address of something in front of it, such as an address translation.",
		setDefault: func(*Settings) {},
		check: func(s *Settings) string {
			if s.Node.Listen == "" {
				return ""
			}
			return checkListen(s.Node.Listen)
		}},
	{Name: "Node.Entry", Unit: "host:port", Range: "required unless Platform.Hosted", About: "Listener for callers.",
		setDefault: func(*Settings) {},
		check: func(s *Settings) string {
			return checkRequiredIf(!s.Platform.Hosted, s.Node.Entry, checkListen)
		}},
	required("Node.Outbound", "host:port", func(s *Settings) *string { return &s.Node.Outbound }, checkListen,
		"Listener for calls that the backend server makes to other services."),
	{Name: "Node.Ready", Unit: "host:port", Range: "required where Platform.Hosted", About: "Listener for the platform's readiness questions.",
		setDefault: func(*Settings) {},
		check: func(s *Settings) string {
			return checkRequiredIf(s.Platform.Hosted, s.Node.Ready, checkListen)
		}},
	required("Node.Admin", "host:port", func(s *Settings) *string { return &s.Node.Admin }, checkListen,
		"Listener of the admin API."),
	required("Backend.URL", "URL", func(s *Settings) *string { return &s.Backend.URL }, checkOrigin,
		"Address of the backend server, without a path."),
	optional("Backend.HealthPath", "path", "/health", func(s *Settings) *string { return &s.Backend.HealthPath }, checkPath, "begins with /",
		"Health endpoint of the backend server."),
	ranged("Backend.SlotsHint", "requests", func(s *Settings) *int { return &s.Backend.SlotsHint }, 0, 0, 100_000, strconv.Itoa,
		"Slots of this instance in place of the release note's; 0 takes the note's."),
	required("Platform.URL", "URL", func(s *Settings) *string { return &s.Platform.URL }, checkOrigin,
		"Address of the configuration service or metadata store, without a path."),
	{Name: "Platform.Hosted", Unit: "true or false", Default: "false", Range: "true, false",
		About:      "Run on the users' platform: requests, configuration and members come from there, through the adapter in platform/.",
		setDefault: func(*Settings) {}, check: func(*Settings) string { return "" }},
	{Name: "Platform.Bounds", Unit: "list of name=value", Default: "none", Range: "texts",
		About:      "Agreed bounds of the users' platform; unknown names are ignored.",
		setDefault: func(*Settings) {}, check: func(*Settings) string { return "" }},
	{Name: "Platform.Regions", Unit: "list of domain=region", Default: "none", Range: "texts",
		About:      "Region of each failure domain on the users' platform; domains that are not listed count as the node's own region.",
		setDefault: func(*Settings) {}, check: func(*Settings) string { return "" }},
	{Name: "Seeds", Unit: "list of host:port", Default: "none", Range: "host and port each",
		About:      "Link addresses of peers that are asked for state at startup when the platform is down.",
		setDefault: func(*Settings) {}, check: func(*Settings) string { return "" }},
	{Name: "Policy", Unit: "name", Default: PolicyAdaptive.String(), Range: "Adaptive, PassThrough",
		About:      "PassThrough turns limits, priority and shared retry allowances off; it is the baseline of experiments.",
		setDefault: func(s *Settings) { s.Policy = PolicyAdaptive }, check: func(*Settings) string { return "" }},
	duration("DrainTimeout", func(s *Settings) *time.Duration { return &s.DrainTimeout }, 30*time.Second, 100*time.Millisecond, 10*time.Minute,
		"Longest time that a planned stop waits for running requests."),

	size("Limits.Memory", func(s *Settings) *Bytes { return &s.Limits.Memory }, 0, 0, 1e12,
		"Memory of the process. Bodies and answers held get a part of it; 0 takes 184 MB. Only where Platform.Hosted."),
	ranged("Limits.Descriptors", "descriptors", func(s *Settings) *int { return &s.Limits.Descriptors }, 0, 0, 10_000_000, strconv.Itoa,
		"Descriptors of the process, of which clients get a part; 0 takes the limit of the operating system. Only where Platform.Hosted."),
	size("Limits.MaxBodyBytes", func(s *Settings) *Bytes { return &s.Limits.MaxBodyBytes }, 16e6, 1e3, 1e9,
		"Largest request body; a larger one is answered 413."),
	size("Limits.BufferBytes", func(s *Settings) *Bytes { return &s.Limits.BufferBytes }, 64e6, 1e3, 16e9,
		"Request bodies held at one time; over it the answer is 503 BufferFull. At least Limits.MaxBodyBytes."),
	size("Limits.HoldAnswerBytes", func(s *Settings) *Bytes { return &s.Limits.HoldAnswerBytes }, 256e3, 0, 64e6,
		"Responses up to this size are held until complete; longer ones are streamed."),
	ranged("Limits.MaxRecords", "records", func(s *Settings) *int { return &s.Limits.MaxRecords }, 50_000, 100, 10_000_000, strconv.Itoa,
		"Attempts, keys and tickets that the gate remembers. Over it the oldest finished ones become Settled."),
	size("Limits.MaxAnswerBytes", func(s *Settings) *Bytes { return &s.Limits.MaxAnswerBytes }, 32e6, 0, 16e9,
		"Responses that the gate keeps for replays, in total."),
	duration("Limits.TicketLifetime", func(s *Settings) *time.Duration { return &s.Limits.TicketLifetime }, 10*time.Minute, time.Second, 24*time.Hour,
		"Time within which a ticket can be used, on the clock of the instance that minted it."),

	duration("Timing.SilentAfter", func(s *Settings) *time.Duration { return &s.Timing.SilentAfter }, 300*time.Millisecond, 10*time.Millisecond, time.Minute,
		"A link with pending requests is pinged after this time without input."),
	duration("Timing.AbandonAfter", func(s *Settings) *time.Duration { return &s.Timing.AbandonAfter }, 700*time.Millisecond, 10*time.Millisecond, time.Minute,
		"A pinged link is closed after this further time without input."),
	duration("Timing.PauseThreshold", func(s *Settings) *time.Duration { return &s.Timing.PauseThreshold }, 300*time.Millisecond, 20*time.Millisecond, time.Minute,
		"Gap between two ticks from which the process counts as paused."),
	duration("Timing.LinkIdle", func(s *Settings) *time.Duration { return &s.Timing.LinkIdle }, 5*time.Minute, time.Second, 24*time.Hour,
		"A link without streams is closed after this time."),
	duration("Timing.AntiEntropy", func(s *Settings) *time.Duration { return &s.Timing.AntiEntropy }, time.Second, 50*time.Millisecond, 10*time.Minute,
		"Interval of the digest comparison with one random peer."),
	duration("Timing.WatchWait", func(s *Settings) *time.Duration { return &s.Timing.WatchWait }, 30*time.Second, 100*time.Millisecond, 10*time.Minute,
		"Longest wait of one watch of a platform key."),

	ranged("Routing.CrossDomainCost", "fraction", func(s *Settings) *float64 { return &s.Routing.CrossDomainCost }, 0, 0, 100, formatFraction,
		"What it costs more to send a request to another failure domain, as a fraction of its cost there. Above 0, a share of the requests leaves the domain, which grows and falls steadily."),

	optional("Log.Level", "name", "Info", func(s *Settings) *string { return &s.Log.Level }, oneOf(LogLevels), strings.Join(LogLevels, ", "),
		"Least severe lines that are logged. Decision lines don't depend on it."),
	optional("Log.Format", "name", "JSON", func(s *Settings) *string { return &s.Log.Format }, oneOf(LogFormats), strings.Join(LogFormats, ", "),
		"Form of the log lines."),
	{Name: "Log.Decisions", Unit: "true or false", Default: "true", Range: "true, false",
		About:      "Write one line for each decision.",
		setDefault: func(s *Settings) { s.Log.Decisions = true }, check: func(*Settings) string { return "" }},
}

// checkRequiredIf checks a string that must be set when needed is true and may
// be empty otherwise.
func checkRequiredIf(needed bool, value string, check func(string) string) string {
	switch {
	case value != "":
		return check(value)
	case needed:
		return "a value is required"
	}
	return ""
}

// required returns a string setting without a default that must not be empty.
func required(name, unit string, field func(*Settings) *string, check func(string) string, about string) Setting {
	return Setting{Name: name, Unit: unit, Range: "required", About: about,
		setDefault: func(*Settings) {},
		check: func(s *Settings) string {
			if *field(s) == "" {
				return "a value is required"
			}
			return check(*field(s))
		}}
}

// optional returns a string setting with a default.
func optional(name, unit, def string, field func(*Settings) *string, check func(string) string, rng, about string) Setting {
	return Setting{Name: name, Unit: unit, Default: def, Range: rng, About: about,
		setDefault: func(s *Settings) { *field(s) = def },
		check:      func(s *Settings) string { return check(*field(s)) }}
}

// ranged returns a setting whose value must be in the range low to high.
func ranged[T cmp.Ordered](name, unit string, field func(*Settings) *T, def, low, high T, format func(T) string, about string) Setting {
	return Setting{Name: name, Unit: unit, Default: format(def), Range: format(low) + " to " + format(high), About: about,
		setDefault: func(s *Settings) { *field(s) = def },
		check: func(s *Settings) string {
			if v := *field(s); v < low || v > high {
				return fmt.Sprintf("must be %s to %s, is %s", format(low), format(high), format(v))
			}
			return ""
		}}
}

func duration(name string, field func(*Settings) *time.Duration, def, low, high time.Duration, about string) Setting {
	return ranged(name, "duration", field, def, low, high, formatDuration, about)
}

func size(name string, field func(*Settings) *Bytes, def, low, high Bytes, about string) Setting {
	return ranged(name, "bytes", field, def, low, high, Bytes.String, about)
}

func formatFraction(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// formatDuration formats a duration without zero units at the end, such as 10m
// in place of 10m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// namePattern is also the rule for names in release notes. Names are part of
// URL paths, platform keys and metric names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func checkName(v string) string {
	if !namePattern.MatchString(v) {
		return "must be 1 to 63 lower case letters, digits and inner hyphens"
	}
	return ""
}

func hasPortZero(v string) bool {
	_, port, err := net.SplitHostPort(v)
	return err == nil && port == "0"
}

// checkListen checks an address to listen on. It accepts port 0, for which the
// kernel assigns a port.
func checkListen(v string) string {
	_, port, err := net.SplitHostPort(v)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return fmt.Sprintf("expected host:port, found %q", v)
	}
	return ""
}

// checkDialable checks an address that peers dial.
func checkDialable(v string) string {
	if msg := checkListen(v); msg != "" {
		return msg
	}
	host, _, _ := net.SplitHostPort(v)
	if ip, err := netip.ParseAddr(host); host == "" || (err == nil && ip.IsUnspecified()) {
		return fmt.Sprintf("peers can't dial the host of %q", v)
	}
	return ""
}

// checkOrigin checks an HTTP or HTTPS URL that has no path, query or user.
func checkOrigin(v string) string {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" ||
		u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" {
		return fmt.Sprintf("expected a URL such as http://127.0.0.1:8080, found %q", v)
	}
	return ""
}

func checkPath(v string) string {
	if !strings.HasPrefix(v, "/") {
		return "must begin with /"
	}
	return ""
}

func oneOf(names []string) func(string) string {
	return func(v string) string {
		if !slices.Contains(names, v) {
			return fmt.Sprintf("must be one of %s, is %q", strings.Join(names, ", "), v)
		}
		return ""
	}
}

// Markdown returns the settings as the table in docs/OPERATIONS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| setting | unit | default | range | meaning |\n|---|---|---|---|---|\n")
	for _, s := range table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.Unit, s.Default, s.Range, s.About)
	}
	return b.String()
}
