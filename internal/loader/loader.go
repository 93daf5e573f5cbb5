// Package loader reads the settings file of the entry daemon.
//
// One table lists every key with its type, unit, default, bounds and help. All
// problems of a file are reported together. A file with a problem returns no
// settings, so that no daemon starts with part of its configuration.
//
// Times on which guarantees between entry daemons depend, such as the staleness
// limit, are constants in their packages, because daemons with different values
// would break the guarantee.
package loader

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("loader")

const (
	// MaxFileBytes is the largest size of a settings file.
	MaxFileBytes = 1 << 20

	maxShownBytes = 80
)

// Settings are the settings of an entry daemon. Table describes the key of each field.
type Settings struct {
	Name             string
	Region           string
	AvailabilityZone string

	CallerAddress        string
	OperatorAddress      string
	MetricsAddress       string
	Profiling            bool
	PeerAddress          string
	PeerAdvertiseAddress string // empty: the address of the peer listener
	PlatformAddress      string
	ContactPeers         []string

	CertificateFile   string
	PrivateKeyFile    string
	CAFiles           []string
	OperatorKeySHA256 string
	LogLevel          string

	RequestBodyLimitBytes  int64
	AnswerBodyLimitBytes   int64
	JournalBodyLimitBytes  int64
	OperatorBodyLimitBytes int64
	MemoryLimitBytes       int64
	DescriptorLimit        int64

	InteractiveTimeout     time.Duration
	DeferrableTimeout      time.Duration
	PlatformTimeout        time.Duration
	RecoveryTimeout        time.Duration
	SilenceTimeout         time.Duration
	DrainDelay             time.Duration
	HealthInterval         time.Duration
	ReportInterval         time.Duration
	ConfigPollInterval     time.Duration
	HeartbeatInterval      time.Duration
	SessionRenewalInterval time.Duration
}

// Problem is one fault of a settings file.
type Problem struct {
	File string
	Line int // zero: the key is not in the file
	Key  string
	Got  string
	Want string
}

// String formats the problem as "file:line: key: got; want expected".
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		place += ": " + p.Key
	}
	return fmt.Sprintf("%s: %s; want %s", place, p.Got, p.Want)
}

// Problems are all faults of a settings file, sorted by line and key.
type Problems []Problem

// Error implements error. It writes each problem on a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file and the files that it names. Relative paths in it
// are resolved against its folder. Errors about the content wrap Problems.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	if info.Size() > MaxFileBytes {
		return Settings{}, Error.New("%s: got %d bytes; want at most %d", path, info.Size(), MaxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	r := newReader(path, string(text))
	s := r.settings()
	r.checkFiles(&s, filepath.Dir(path))
	return r.result(s)
}

// Parse checks the text of a settings file without reading the files that it names. The name
// in file is only used in errors, which wrap Problems.
func Parse(file, text string) (Settings, error) {
	r := newReader(file, text)
	return r.result(r.settings())
}

// reader collects the problems of one file.
type reader struct {
	file     string
	text     string
	lines    map[string]int // first line of each key or table
	problems Problems
	bad      map[string]bool // keys with a problem
}

var assignmentPattern = regexp.MustCompile(`^\s*"?([A-Za-z0-9_-]+)"?\s*=`)
var tablePattern = regexp.MustCompile(`^\s*\[+\s*"?([A-Za-z0-9_-]+)`)

func newReader(file, text string) *reader {
	r := &reader{
		file:  file,
		text:  text,
		lines: map[string]int{},
		bad:   map[string]bool{},
	}
	// The TOML library does not report the lines of keys.
	for i, line := range strings.Split(text, "\n") {
		m := assignmentPattern.FindStringSubmatch(line)
		if m == nil {
			m = tablePattern.FindStringSubmatch(line)
		}
		if m != nil && r.lines[m[1]] == 0 {
			r.lines[m[1]] = i + 1
		}
	}
	return r
}

func (r *reader) add(key, got, want string) {
	r.bad[key] = true
	r.problems = append(r.problems, Problem{
		File: r.file,
		Line: r.lines[key],
		Key:  key,
		Got:  got,
		Want: want,
	})
}

func (r *reader) settings() Settings {
	var s Settings
	values := map[string]any{}
	if _, err := toml.Decode(r.text, &values); err != nil {
		problem := Problem{
			File: r.file,
			Got:  err.Error(),
			Want: "TOML",
		}
		var parse toml.ParseError
		if errors.As(err, &parse) {
			problem.Line = parse.Position.Line
			problem.Key = parse.LastKey
			problem.Got = parse.Message
		}
		r.problems = append(r.problems, problem)
		return s
	}
	for _, key := range Table() {
		value, ok := values[key.Name]
		delete(values, key.Name)
		if !ok {
			r.applyDefault(&s, key)
			continue
		}
		if err := key.set(&s, value); err != nil {
			r.add(key.Name, describe(key, value), key.want())
		}
	}
	for name, value := range values {
		r.add(name, "unknown key with "+abbreviate(value), "a key of the reference (comfreyford check --reference)")
	}
	r.checkRelations(s)
	return s
}

func (r *reader) applyDefault(s *Settings, key Key) {
	if key.Default == nil {
		r.add(key.Name, "missing", key.want())
		return
	}
	// Not reached unless the table has a bad default; TestTable checks all of them.
	if err := key.set(s, key.Default); err != nil {
		r.add(key.Name, "default refused", key.want())
	}
}

func describe(key Key, value any) string {
	if text, ok := value.(string); ok && key.Type == typeHash {
		// The file may contain the key itself instead of its hash, so it is not shown.
		return fmt.Sprintf("got %d characters", len(text))
	}
	return "got " + abbreviate(value)
}

func abbreviate(value any) string {
	text := fmt.Sprintf("%v", value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "..."
	}
	return text
}

// checkRelations checks the rules that involve several keys.
func (r *reader) checkRelations(s Settings) {
	if !r.bad["silence_timeout"] && !r.bad["health_interval"] && s.SilenceTimeout <= s.HealthInterval {
		r.add("silence_timeout", "got "+s.SilenceTimeout.String(), "more than health_interval, "+s.HealthInterval.String())
	}
	if !r.bad["journal_body_limit"] && !r.bad["request_body_limit"] && s.JournalBodyLimitBytes > s.RequestBodyLimitBytes {
		r.add("journal_body_limit", fmt.Sprintf("got %d", s.JournalBodyLimitBytes),
			fmt.Sprintf("at most request_body_limit, %d", s.RequestBodyLimitBytes))
	}
	seen := map[string]string{}
	for _, a := range []struct{ key, address string }{
		{"caller_address", s.CallerAddress},
		{"operator_address", s.OperatorAddress},
		{"metrics_address", s.MetricsAddress},
	} {
		// With port 0 the system chooses a free port, so several listeners may use it.
		if other, ok := seen[a.address]; ok && !r.bad[a.key] && !r.bad[other] && !strings.HasSuffix(a.address, ":0") {
			r.add(a.key, fmt.Sprintf("got %q, which is also %s", a.address, other), "an address that no other key uses")
			continue
		}
		seen[a.address] = a.key
	}
}

// checkFiles resolves relative paths against dir, the folder of the settings file, and checks
// that the files can be read and contain certificates and a key.
func (r *reader) checkFiles(s *Settings, dir string) {
	resolve := func(path string) string {
		if path == "" || filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(dir, path)
	}
	s.CertificateFile = resolve(s.CertificateFile)
	s.PrivateKeyFile = resolve(s.PrivateKeyFile)
	for i, path := range s.CAFiles {
		s.CAFiles[i] = resolve(path)
	}
	if s.CertificateFile != "" && s.PrivateKeyFile != "" {
		if _, err := tls.LoadX509KeyPair(s.CertificateFile, s.PrivateKeyFile); err != nil {
			r.add("certificate_file", err.Error(), "a PEM certificate that belongs to private_key_file")
		}
	}
	for _, path := range s.CAFiles {
		text, err := os.ReadFile(path)
		if err != nil {
			r.add("ca_files", err.Error(), "a readable file")
			continue
		}
		if !x509.NewCertPool().AppendCertsFromPEM(text) {
			r.add("ca_files", fmt.Sprintf("%q holds no certificate", path), "PEM certificates")
		}
	}
}

func (r *reader) result(s Settings) (Settings, error) {
	if len(r.problems) == 0 {
		return s, nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Key, b.Key)
	})
	return Settings{}, Error.Wrap(r.problems)
}
