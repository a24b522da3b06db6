package transport

import (
	"fmt"
	"strings"

	"github.com/sourcegraph/jsonrpc2"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
)

// connLog logs the messages of the JSON-RPC library about one connection as log events. By
// default the library writes unstructured lines to standard error.
type connLog struct {
	log     logevent.Logger
	host    model.HostID // empty if the peer is unknown
	address string
}

// Printf implements jsonrpc2.Logger.
func (l connLog) Printf(format string, v ...any) {
	reason := strings.TrimPrefix(strings.TrimSpace(fmt.Sprintf(format, v...)), "jsonrpc2: ")
	l.log.Emit(logevent.PeerConnectionError, logevent.Host(l.host),
		logevent.Str(logevent.NameAddress, l.address), logevent.Str(logevent.NameReason, reason))
}

func (t *Transport) loggerFor(host model.HostID, address string) jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(connLog{t.log, host, address})
}
