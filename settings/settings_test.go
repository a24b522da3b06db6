package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

const example = "../examples/vakoas/entry-1.toml"

func exampleText(t testing.TB) string {
	text, err := os.ReadFile(example)
	require.NoError(t, err)
	return string(text)
}

// Guards against an example that no longer matches the format, and against a value
// that is read into the wrong field.
func TestLoadExample(t *testing.T) {
	s, err := Load(example)
	require.NoError(t, err)
	require.Equal(t, "vakoas", s.Cluster)
	require.Equal(t, model.HostID("entry-1"), s.Host)
	require.Equal(t, model.DataCentreID("north"), s.DataCentre)
	require.Equal(t, "/var/lib/primrosedale/entry-1", s.DataFolder)
	require.True(t, s.IsReplica())
	require.Equal(t, Listen{
		Peers:     netip.MustParseAddrPort("127.0.0.1:7101"),
		Callers:   netip.MustParseAddrPort("127.0.0.1:8101"),
		Platform:  netip.MustParseAddrPort("127.0.0.1:8201"),
		Operators: netip.MustParseAddrPort("127.0.0.1:8301"),
	}, s.Listen)
	require.Len(t, s.Peers, 9)
	require.Equal(t, Peer{"entry-9", "south", netip.MustParseAddrPort("127.0.0.1:7109"), false}, s.Peers[8])
	require.Equal(t, Log{"info", FormatJSON}, s.Log)
	require.Equal(t, TLS{Mode: ModePlain}, s.TLS)
	require.Equal(t, Limits{1 << 20, 8 << 20, 4096}, s.Limits)
	require.Empty(t, s.Warnings)
}

// followerSettings holds the settings of a follower in a cluster with one replica. The
// tests refer to its lines by number.
const followerSettings = `cluster = "c"
host = "b"
data_centre = "west"

[listen]
peers = "127.0.0.1:1"
callers = "127.0.0.1:2"
platform = "127.0.0.1:3"
operators = "127.0.0.1:4"

[[peer]]
host = "a"
data_centre = "west"
address = "127.0.0.1:5"
replica = true

[[peer]]
host = "b"
data_centre = "west"
address = "127.0.0.1:1"
`

// Guards against defaults that differ from the documentation, and against starting a
// cluster with a single replica without a warning.
func TestDefaults(t *testing.T) {
	s, err := Parse("f", []byte(followerSettings))
	require.NoError(t, err)
	require.Equal(t, Log{"info", FormatJSON}, s.Log)
	require.Equal(t, TLS{Mode: ModePlain}, s.TLS)
	require.Equal(t, Limits{1 << 20, 8 << 20, 4096}, s.Limits)
	require.False(t, s.IsReplica())
	require.Empty(t, s.JournalPath)
	require.Len(t, s.Warnings, 1)
}

// Guards against an invalid setting that is accepted, or reported with the wrong line.
func TestFaults(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"syntax":               {`host = "b"`, `host = `, "2: syntax: found text that is not TOML (unexpected character U+000A at start of value), allowed TOML 1.0"},
		"unknown key":          {`host = "b"`, "host = \"b\"\nhosts = 3", "3: hosts: found an unknown key, allowed one of cluster, host, data_centre, data_folder, record, listen, peer, log, tls, limits"},
		"unknown inner key":    {`replica = true`, "replica = true\nvoter = true", "16: peer[0].voter: found an unknown key, allowed one of host, data_centre, address, replica"},
		"connections":          {"[listen]", "[limits]\nconnections_per_target = 9\n[listen]", "6: limits.connections_per_target: found an unknown key, allowed one of body_bytes, answer_bytes, held_requests"},
		"missing key":          {`cluster = "c"`, ``, "1: cluster: found nothing, allowed a value: the key is required"},
		"missing address":      {`callers = "127.0.0.1:2"`, ``, "5: listen.callers: found nothing, allowed a value: the key is required"},
		"wrong type":           {`cluster = "c"`, `cluster = 3`, "1: cluster: found 3, allowed an identifier of 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"},
		"not a table":          {"[listen]", "log = 3\n[listen]", "5: log: found 3, allowed a table"},
		"name for address":     {`"127.0.0.1:2"`, `"localhost:2"`, `7: listen.callers: found "localhost:2", allowed IP:PORT with a port from 1 to 65535, such as 127.0.0.1:7101`},
		"port 0":               {`"127.0.0.1:2"`, `"127.0.0.1:0"`, `7: listen.callers: found "127.0.0.1:0", allowed IP:PORT with a port from 1 to 65535, such as 127.0.0.1:7101`},
		"same listen address":  {`"127.0.0.1:2"`, `"127.0.0.1:1"`, "7: listen.callers: found 127.0.0.1:1 again, allowed each address once; it is also listen.peers"},
		"plain off loopback":   {`"127.0.0.1:2"`, `"10.0.0.1:2"`, `7: listen.callers: found 10.0.0.1:2, allowed a loopback address, or tls.mode = "mutual"`},
		"plain on every":       {`"127.0.0.1:2"`, `"0.0.0.0:2"`, `7: listen.callers: found 0.0.0.0:2, allowed a loopback address, or tls.mode = "mutual"`},
		"plain to other peer":  {`"127.0.0.1:5"`, `"10.0.0.1:5"`, `14: peer[0].address: found 10.0.0.1:5, allowed a loopback address, or tls.mode = "mutual"`},
		"mutual without files": {"[listen]", "[tls]\nmode = \"mutual\"\ncertificate = \"c\"\nauthority = \"a\"\n[listen]", "5: tls.key: found nothing, allowed the path of a PEM file, since tls.mode is mutual"},
		"plain with files":     {"[listen]", "[tls]\nkey = \"k\"\n[listen]", `6: tls.key: found "k", allowed nothing, since tls.mode is plain`},
		"tls mode":             {"[listen]", "[tls]\nmode = \"off\"\n[listen]", `6: tls.mode: found "off", allowed one of plain, mutual`},
		"log level":            {"[listen]", "[log]\nlevel = \"loud\"\n[listen]", `6: log.level: found "loud", allowed one of debug, info, warn, error`},
		"body limit":           {"[listen]", "[limits]\nbody_bytes = 1048577\n[listen]", "6: limits.body_bytes: found 1048577, allowed a whole number from 1024 to 1048576"},
		"held limit":           {"[listen]", "[limits]\nheld_requests = 0\n[listen]", "6: limits.held_requests: found 0, allowed a whole number from 1 to 65536"},
		"host not a peer":      {`host = "b"`, `host = "c"`, `2: host: found "c", allowed the host of one of the peers`},
		"other data centre":    {`data_centre = "west"`, `data_centre = "east"`, `3: data_centre: found "east", allowed "west", as in peer[1].data_centre`},
		"follower with folder": {`host = "b"`, "host = \"b\"\ndata_folder = \"d\"", `3: data_folder: found "d", allowed a path on a replica and nothing on a follower; peer[1].replica is false`},
		"no replica":           {"replica = true", "replica = false", "11: peer: found 0 replicas, allowed an odd number of peers with replica = true"},
		"peer everywhere":      {`"127.0.0.1:5"`, `"0.0.0.0:5"`, "14: peer[0].address: found 0.0.0.0:5, allowed the address at which other hosts reach this peer\nf:14: peer[0].address: found 0.0.0.0:5, allowed a loopback address, or tls.mode = \"mutual\""},
		"two peers of a name":  {`address = "127.0.0.1:1"`, "address = \"127.0.0.1:1\"\n\n[[peer]]\nhost = \"a\"\ndata_centre = \"west\"\naddress = \"127.0.0.1:6\"", `23: peer[2].host: found "a" again, allowed each host once; it is also peer[0].host`},
		"peer address twice":   {`"127.0.0.1:5"`, `"127.0.0.1:1"`, "20: peer[1].address: found 127.0.0.1:1 again, allowed each address once; it is also peer[0].address"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(followerSettings, test.old, test.new, 1)
			require.NotEqual(t, followerSettings, text)
			_, err := Parse("f", []byte(text))
			require.EqualError(t, err, "f:"+test.want)
		})
	}
}

// Guards against an even number of replicas, which tolerates no more failures than one
// replica fewer.
func TestEvenReplicas(t *testing.T) {
	text := strings.Replace(followerSettings, `data_centre = "west"`, "data_centre = \"west\"\ndata_folder = \"d\"", 1) + "replica = true\n"
	_, err := Parse("f", []byte(text))
	require.EqualError(t, err, "f:12: peer: found 2 replicas, allowed an odd number of peers with replica = true")
}

// Guards against mutual TLS that refuses addresses of other machines.
func TestMutualOffLoopback(t *testing.T) {
	text := strings.ReplaceAll(followerSettings, "127.0.0.1", "10.0.0.1") +
		"[tls]\nmode = \"mutual\"\ncertificate = \"c\"\nkey = \"k\"\nauthority = \"a\"\n"
	s, err := Parse("f", []byte(text))
	require.NoError(t, err)
	require.Equal(t, TLS{ModeMutual, "c", "k", "a"}, s.TLS)
}

// Guards against an error that hides the errors after it.
func TestEveryFaultIsReported(t *testing.T) {
	text := "cluster = \"\"\nx = 1\nlisten = { peers = 3 }\n[[peer]]\nhost = \"a\"\nreplica = 2\n[limits]\nbody_bytes = \"1\"\n"
	_, err := Parse("f", []byte(text))
	var keys []string
	for _, line := range strings.Split(err.Error(), "\n") {
		keys = append(keys, strings.SplitN(line, ": found", 2)[0])
	}
	require.Equal(t, []string{
		"f:1: cluster", "f:1: data_centre", "f:1: host", "f:2: x",
		"f:3: listen.callers", "f:3: listen.operators", "f:3: listen.peers", "f:3: listen.platform",
		"f:4: peer", "f:4: peer[0].address", "f:4: peer[0].data_centre", "f:6: peer[0].replica", "f:8: limits.body_bytes",
	}, keys)
}

// Guards against treating a missing file as an empty one.
func TestLoadMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorContains(t, err, "reading settings")
}

// Guards against a panic on any text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(followerSettings))
	f.Add([]byte(exampleText(f)))
	f.Add([]byte("peer = [{}, 3]\nlisten = []\ntls.mode = 3\n[\"a.b[\"]\n\"]\" = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("f", text); err == nil {
			require.NotEmpty(t, s.Peers)
		}
	})
}

// Guards against an example that no longer parses.
func TestEveryExample(t *testing.T) {
	paths, err := filepath.Glob("../examples/*/*.toml")
	require.NoError(t, err)
	checked := 0
	for _, path := range paths {
		if filepath.Base(path) == "rules.toml" {
			continue
		}
		_, err := Load(path)
		require.NoError(t, err)
		checked++
	}
	require.Positive(t, checked)
}
