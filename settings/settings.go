// Package settings reads the daemon's settings from a TOML file. The keys
// are described in docs/settings.md. Settings hold what one process must know
// to start; everything that can change while it runs is in the rules.
package settings

import (
	"net/netip"
	"os"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/rulesfile/filefault"
)

// Error is one error in a settings file.
type Error = filefault.Error

// Errors holds all errors found in a settings file.
type Errors = filefault.Errors

// Settings is one valid settings file.
type Settings struct {
	Cluster     string
	Host        model.HostID
	DataCentre  model.DataCentreID
	DataFolder  string // empty: the host is a follower
	Listen      Listen
	Peers       []Peer // every host of the cluster, including this one
	Log         Log
	TLS         TLS
	Limits      Limits
	JournalPath string   // path of the event journal, empty for none
	Warnings    []string // allowed but unusual settings, one sentence each
}

// Listen holds the addresses on which the process accepts connections.
type Listen struct {
	Peers     netip.AddrPort // other hosts of the cluster
	Callers   netip.AddrPort // requests and tasks
	Platform  netip.AddrPort // announcements of targets and workers
	Operators netip.AddrPort // rules, keys and reports
}

// Peer is one host of the cluster.
type Peer struct {
	Host       model.HostID
	DataCentre model.DataCentreID
	Address    netip.AddrPort
	Replica    bool // the host has a data folder
}

// Log configures what is logged and in which format.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // json or console
}

// The log formats.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// TLS configures the protection of all connections between processes.
type TLS struct {
	Mode        string // plain or mutual
	Certificate string // path, PEM
	Key         string // path, PEM
	Authority   string // path, PEM
}

// The TLS modes.
const (
	ModePlain  = "plain"
	ModeMutual = "mutual"
)

// Limits bounds the memory that requests take on this host. The connections of a
// target are bounded by its announcements, not by a setting.
type Limits struct {
	BodyBytes    int64 // of one request
	AnswerBytes  int64 // of one answer
	HeldRequests int   // held by this host at one time
}

// IsReplica reports whether the host stores the replicated log.
func (s *Settings) IsReplica() bool { return s.DataFolder != "" }

// Load reads the settings file at path. The error is of type Errors if the file could
// be read but is invalid.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	return Parse(path, text)
}
