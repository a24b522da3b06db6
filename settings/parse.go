package settings

import (
	"errors"
	"net/netip"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/rulesfile/filefault"
)

// Defaults and bounds of the limits. The upper bounds of body and answer are those of
// design section 10, because hosts are small.
const (
	minBytes            = 1 << 10 // bytes
	maxBodyBytes        = 1 << 20 // bytes, also the default
	maxAnswerBytes      = 8 << 20 // bytes, also the default
	defaultHeldRequests = 4_096
	maxHeldRequests     = 65_536
)

const (
	addressAllowed = "IP:PORT with a port from 1 to 65535, such as 127.0.0.1:7101"
	pathAllowed    = "a path"
)

// Parse parses the text of a settings file. The name is used only in errors. The error
// is of type Errors. Parsing stops at a syntax error; all other errors are found in
// one pass.
func Parse(name string, text []byte) (*Settings, error) {
	p := &parser{name: name, settings: &Settings{}}
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		p.addSyntaxError(err)
		return nil, p.errors
	}
	p.lines = indexLines(text)
	p.read(filefault.NewTable(values, p.addFault))
	p.check()
	p.errors.Sort()
	if err := p.errors.Limited().AsError(); err != nil {
		return nil, err
	}
	return p.settings, nil
}

// parser collects the settings and errors of one file.
type parser struct {
	name     string
	lines    lineIndex
	settings *Settings
	errors   Errors
}

func (p *parser) addFault(key, found, allowed string) {
	p.errors = append(p.errors, Error{
		File: p.name, Line: p.lines.lineOf(key), Key: key, Found: found, Allowed: allowed,
	})
}

func (p *parser) addSyntaxError(err error) {
	line := 1
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	found := "text that is not TOML (" + strings.TrimPrefix(err.Error(), "toml: ") + ")"
	p.errors = Errors{{File: p.name, Line: line, Key: "syntax", Found: found, Allowed: "TOML 1.0"}}
}

func (p *parser) read(t *filefault.Table) {
	s := p.settings
	t.Require("cluster", "host", "data_centre", "listen", "peer")
	s.Cluster = readIdentifier(t, "cluster")
	s.Host = model.HostID(readIdentifier(t, "host"))
	s.DataCentre = model.DataCentreID(readIdentifier(t, "data_centre"))
	s.DataFolder = readPath(t, "data_folder")
	s.JournalPath = readPath(t, "record")
	s.Listen = readListen(t.Table("listen"), t.Has("listen"))
	for _, peer := range t.Tables("peer") {
		s.Peers = append(s.Peers, readPeer(peer))
	}
	s.Log = readLog(t.Table("log"))
	s.TLS = readTLS(t.Table("tls"))
	s.Limits = readLimits(t.Table("limits"))
	t.ReportUnknownKeys()
}

func readListen(t *filefault.Table, present bool) Listen {
	if present {
		t.Require("peers", "callers", "platform", "operators")
	}
	defer t.ReportUnknownKeys()
	return Listen{
		Peers:     readAddress(t, "peers"),
		Callers:   readAddress(t, "callers"),
		Platform:  readAddress(t, "platform"),
		Operators: readAddress(t, "operators"),
	}
}

func readPeer(t *filefault.Table) Peer {
	t.Require("host", "data_centre", "address")
	defer t.ReportUnknownKeys()
	return Peer{
		Host:       model.HostID(readIdentifier(t, "host")),
		DataCentre: model.DataCentreID(readIdentifier(t, "data_centre")),
		Address:    readAddress(t, "address"),
		Replica:    t.Bool("replica", false),
	}
}

func readLog(t *filefault.Table) Log {
	defer t.ReportUnknownKeys()
	return Log{
		Level:  readChoice(t, "level", "info", "debug", "info", "warn", "error"),
		Format: readChoice(t, "format", FormatJSON, FormatJSON, FormatConsole),
	}
}

func readTLS(t *filefault.Table) TLS {
	defer t.ReportUnknownKeys()
	return TLS{
		Mode:        readChoice(t, "mode", ModePlain, ModePlain, ModeMutual),
		Certificate: readPath(t, "certificate"),
		Key:         readPath(t, "key"),
		Authority:   readPath(t, "authority"),
	}
}

func readLimits(t *filefault.Table) Limits {
	defer t.ReportUnknownKeys()
	return Limits{
		BodyBytes:    t.Int("body_bytes", maxBodyBytes, minBytes, maxBodyBytes),
		AnswerBytes:  t.Int("answer_bytes", maxAnswerBytes, minBytes, maxAnswerBytes),
		HeldRequests: int(t.Int("held_requests", defaultHeldRequests, 1, maxHeldRequests)),
	}
}

func readIdentifier(t *filefault.Table, key string) string {
	return t.Text(key, "", filefault.IdentifierAllowed, filefault.IsIdentifier)
}

func readPath(t *filefault.Table, key string) string {
	return t.Text(key, "", pathAllowed, func(s string) bool { return !strings.Contains(s, "\x00") })
}

func readChoice(t *filefault.Table, key, fallback string, allowed ...string) string {
	return t.Text(key, fallback, "one of "+strings.Join(allowed, ", "), func(s string) bool {
		for _, a := range allowed {
			if s == a {
				return true
			}
		}
		return false
	})
}

func readAddress(t *filefault.Table, key string) netip.AddrPort {
	text := t.Text(key, "", addressAllowed, func(s string) bool {
		_, ok := parseAddress(s)
		return ok
	})
	parsed, _ := parseAddress(text)
	return parsed
}

// parseAddress accepts no host names, because a process must be able to start while no
// name service can be reached.
func parseAddress(s string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(s)
	if err != nil || parsed.Port() == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()), true
}
