package loader

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Types of keys.
const (
	typeName      = "name"
	typeAddress   = "address"
	typeURL       = "URL"
	typeAdvertise = "address or empty"
	typeAddresses = "list of addresses"
	typeFile      = "file"
	typeFiles     = "list of files"
	typeHash      = "SHA-256"
	typeLevel     = "log level"
	typeInteger   = "integer"
	typeDuration  = "duration"
	typeBoolean   = "boolean"
)

var (
	errNotAccepted = errors.New("value refused")

	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels   = []string{"trace", "debug", "info", "warn", "error"}
)

// Key is one row of the table of settings.
type Key struct {
	Name    string
	Type    string
	Unit    string // of integers; empty for other types
	Default any    // nil: the key is required
	Min     int64  // lower bound: integers in Unit, durations in ns, lists in entries
	Max     int64  // upper bound, in the unit of Min
	Help    string
	set     func(s *Settings, value any) error
}

// Table returns all keys in the order in which Reference lists them.
func Table() []Key {
	return slices.Concat(identityKeys(), connectionKeys(), limitKeys(), timeKeys())
}

func identityKeys() []Key {
	return []Key{
		stringKey("name", typeName, nil, "name of this entry daemon, unique in the installation", func(s *Settings) *string { return &s.Name }),
		stringKey("region", typeName, nil, "region of this entry daemon", func(s *Settings) *string { return &s.Region }),
		stringKey("availability_zone", typeName, nil, "availability zone of this entry daemon", func(s *Settings) *string { return &s.AvailabilityZone }),
		stringKey("log_level", typeLevel, "info", "least severe level that is logged", func(s *Settings) *string { return &s.LogLevel }),
	}
}

func connectionKeys() []Key {
	return []Key{
		stringKey("caller_address", typeAddress, nil, "listener for callers", func(s *Settings) *string { return &s.CallerAddress }),
		stringKey("operator_address", typeAddress, nil, "listener for operators", func(s *Settings) *string { return &s.OperatorAddress }),
		stringKey("metrics_address", typeAddress, nil, "listener for metrics and health", func(s *Settings) *string { return &s.MetricsAddress }),
		booleanKey("profiling", false, "serves Go profiles under /debug/pprof/ on metrics_address", func(s *Settings) *bool { return &s.Profiling }),
		stringKey("peer_address", typeAddress, nil, "UDP listener for other entry daemons", func(s *Settings) *string { return &s.PeerAddress }),
		stringKey("peer_advertise_address", typeAdvertise, "", "address under which other entry daemons reach this one; empty: that of the peer listener", func(s *Settings) *string { return &s.PeerAdvertiseAddress }),
		stringKey("platform_address", typeURL, nil, "platform's key-value service and VM list", func(s *Settings) *string { return &s.PlatformAddress }),
		listKey("contact_peers", typeAddresses, []any{}, 0, 64, "peers for the first contact; later ones come from the member list", func(s *Settings) *[]string { return &s.ContactPeers }),
		stringKey("certificate_file", typeFile, nil, "certificate of this entry daemon, PEM", func(s *Settings) *string { return &s.CertificateFile }),
		stringKey("private_key_file", typeFile, nil, "private key of the certificate, PEM", func(s *Settings) *string { return &s.PrivateKeyFile }),
		listKey("ca_files", typeFiles, nil, 1, 2, "certificates of the installation's CA, PEM; two while the CA is rotated", func(s *Settings) *[]string { return &s.CAFiles }),
		stringKey("operator_key_sha256", typeHash, nil, "hash of the key that operators send in Comfreyford-Operator-Key", func(s *Settings) *string { return &s.OperatorKeySHA256 }),
	}
}

func limitKeys() []Key {
	return []Key{
		byteLimitKey("request_body_limit", 1<<20, 1<<10, 1<<30, "body of a request", func(s *Settings) *int64 { return &s.RequestBodyLimitBytes }),
		byteLimitKey("answer_body_limit", 16<<20, 1<<10, 1<<30, "body of an answer", func(s *Settings) *int64 { return &s.AnswerBodyLimitBytes }),
		// The key-value service stores values of up to 1 MB; half of that leaves room for the record.
		byteLimitKey("journal_body_limit", 512<<10, 1<<10, 512<<10, "body of a deferrable or non-idempotent request, which the journal keeps", func(s *Settings) *int64 { return &s.JournalBodyLimitBytes }),
		byteLimitKey("operator_body_limit", 1<<20, 64<<10, 16<<20, "body of a request of an operator", func(s *Settings) *int64 { return &s.OperatorBodyLimitBytes }),
		byteLimitKey("memory_limit", 1<<30, 64<<20, 1<<40, "memory of the VM; an eighth is for requests under way, three eighths bound the collector", func(s *Settings) *int64 { return &s.MemoryLimitBytes }),
		countLimitKey("descriptor_limit", 16_384, 256, 1<<20, "descriptors of the process; a third of those above 200 is for connections of callers", func(s *Settings) *int64 { return &s.DescriptorLimit }),
	}
}

func timeKeys() []Key {
	return []Key{
		durationKey("interactive_timeout", 30*time.Second, 10*time.Millisecond, time.Hour, "deadline of a request whose caller is on the line and states none", func(s *Settings) *time.Duration { return &s.InteractiveTimeout }),
		durationKey("deferrable_timeout", time.Hour, time.Second, 24*time.Hour, "deadline of deferrable work that states none", func(s *Settings) *time.Duration { return &s.DeferrableTimeout }),
		durationKey("platform_timeout", time.Second, 50*time.Millisecond, 2*time.Second, "one call to the platform", func(s *Settings) *time.Duration { return &s.PlatformTimeout }),
		durationKey("recovery_timeout", 60*time.Second, time.Second, 10*time.Minute, "search for a non-idempotent task at a target that cannot be reached", func(s *Settings) *time.Duration { return &s.RecoveryTimeout }),
		durationKey("silence_timeout", 2*time.Second, 100*time.Millisecond, 30*time.Second, "time without a byte after which a connection is replaced", func(s *Settings) *time.Duration { return &s.SilenceTimeout }),
		durationKey("drain_delay", time.Second, 0, time.Minute, "time that listeners stay open after readiness has ended", func(s *Settings) *time.Duration { return &s.DrainDelay }),
		durationKey("health_interval", time.Second, 50*time.Millisecond, 2*time.Second, "between health requests to a target or peer", func(s *Settings) *time.Duration { return &s.HealthInterval }),
		// Peers count a member as live for 3 s after a report.
		durationKey("report_interval", 250*time.Millisecond, 50*time.Millisecond, time.Second, "between reports to each peer", func(s *Settings) *time.Duration { return &s.ReportInterval }),
		// A daemon admits work with a team's key until 3 s after it last knew its configuration to be
		// current.
		durationKey("config_poll_interval", 500*time.Millisecond, 50*time.Millisecond, time.Second, "between polls of the relay", func(s *Settings) *time.Duration { return &s.ConfigPollInterval }),
		// An entry daemon may use its allowance for 60 s after its last heartbeat.
		durationKey("heartbeat_interval", 5*time.Second, 500*time.Millisecond, 15*time.Second, "between heartbeats in the key-value service", func(s *Settings) *time.Duration { return &s.HeartbeatInterval }),
		// Sessions at workers end 10 s after their last renewal.
		durationKey("session_renewal_interval", 3*time.Second, 200*time.Millisecond, 4*time.Second, "between renewals of a session at a worker", func(s *Settings) *time.Duration { return &s.SessionRenewalInterval }),
	}
}

func stringKey(name, typ string, def any, help string, field func(*Settings) *string) Key {
	return Key{
		Name:    name,
		Type:    typ,
		Default: def,
		Help:    help,
		set: func(s *Settings, value any) error {
			v, ok := value.(string)
			if !ok || !accepts(typ, v) {
				return errNotAccepted
			}
			*field(s) = v
			return nil
		},
	}
}

func booleanKey(name string, def bool, help string, field func(*Settings) *bool) Key {
	return Key{
		Name:    name,
		Type:    typeBoolean,
		Default: def,
		Help:    help,
		set: func(s *Settings, value any) error {
			v, ok := value.(bool)
			if !ok {
				return errNotAccepted
			}
			*field(s) = v
			return nil
		},
	}
}

func listKey(name, typ string, def any, low, high int64, help string, field func(*Settings) *[]string) Key {
	return Key{
		Name:    name,
		Type:    typ,
		Default: def,
		Min:     low,
		Max:     high,
		Help:    help,
		set: func(s *Settings, value any) error {
			items, ok := value.([]any)
			if !ok || int64(len(items)) < low || int64(len(items)) > high {
				return errNotAccepted
			}
			var entries []string
			for _, item := range items {
				v, ok := item.(string)
				if !ok || !accepts(typ, v) {
					return errNotAccepted
				}
				entries = append(entries, v)
			}
			*field(s) = entries
			return nil
		},
	}
}

func byteLimitKey(name string, def, low, high int64, help string, field func(*Settings) *int64) Key {
	return limitKey(name, "bytes", def, low, high, help, field)
}

func countLimitKey(name string, def, low, high int64, help string, field func(*Settings) *int64) Key {
	return limitKey(name, "1", def, low, high, help, field)
}

func limitKey(name, unit string, def, low, high int64, help string, field func(*Settings) *int64) Key {
	return Key{
		Name:    name,
		Type:    typeInteger,
		Unit:    unit,
		Default: def,
		Min:     low,
		Max:     high,
		Help:    help,
		set: func(s *Settings, value any) error {
			v, ok := value.(int64)
			if !ok || v < low || v > high {
				return errNotAccepted
			}
			*field(s) = v
			return nil
		},
	}
}

func durationKey(name string, def, low, high time.Duration, help string, field func(*Settings) *time.Duration) Key {
	return Key{
		Name:    name,
		Type:    typeDuration,
		Default: def.String(),
		Min:     int64(low),
		Max:     int64(high),
		Help:    help,
		set: func(s *Settings, value any) error {
			v, ok := value.(string)
			if !ok {
				return errNotAccepted
			}
			d, err := time.ParseDuration(v)
			if err != nil || d < low || d > high {
				return errNotAccepted
			}
			*field(s) = d
			return nil
		},
	}
}

func accepts(typ, v string) bool {
	switch typ {
	case typeName:
		return namePattern.MatchString(v)
	case typeAddress, typeAddresses:
		return isAddress(v)
	case typeAdvertise:
		return v == "" || isAddress(v)
	case typeURL:
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil && u.RawQuery == "" && u.Fragment == ""
	case typeFile, typeFiles:
		return v != "" && !strings.ContainsRune(v, 0)
	case typeHash:
		return hashPattern.MatchString(v)
	case typeLevel:
		return slices.Contains(logLevels, v)
	}
	return false
}

// isAddress reports whether v is an IP address with a port. Host names are refused, because
// components must find each other without a name service.
func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// want describes the values that the key accepts.
func (k Key) want() string {
	switch k.Type {
	case typeName:
		return `a string of 1 to 63 of a-z, 0-9, "-" and "_" that starts with a letter or digit`
	case typeAddress:
		return `an IP address with port such as "10.0.0.1:8080"`
	case typeAdvertise:
		return `an IP address with port such as "10.0.0.1:8080", or ""`
	case typeURL:
		return `a URL such as "http://10.0.0.1:7000"`
	case typeAddresses:
		return fmt.Sprintf(`a list of %d to %d IP addresses with port`, k.Min, k.Max)
	case typeFile:
		return "the path of a file"
	case typeFiles:
		return fmt.Sprintf("a list of %d to %d paths of files", k.Min, k.Max)
	case typeHash:
		return "64 lower-case hexadecimal digits"
	case typeLevel:
		return "one of " + strings.Join(logLevels, ", ")
	case typeBoolean:
		return "true or false"
	case typeInteger:
		return fmt.Sprintf("an integer from %d to %d %s", k.Min, k.Max, k.Unit)
	default:
		return fmt.Sprintf("a duration from %q to %q", time.Duration(k.Min), time.Duration(k.Max))
	}
}

// Reference returns the reference of all settings as a Markdown table.
func Reference() string {
	var b strings.Builder
	b.WriteString("| Key | Type | Default | Accepted | Meaning |\n|---|---|---|---|---|\n")
	for _, k := range Table() {
		def := "required"
		if k.Default != nil {
			def = fmt.Sprintf("`%v`", k.Default)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, k.Type, def, k.want(), k.Help)
	}
	return b.String()
}
