package daemon

import (
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/settings"
	"primrosedale.example/primrosedale/storage"
)

// firstIncarnation is the incarnation of the replicas that start a cluster. They need
// a common one, because each must know the others' identities before the first
// contact. A replica that replaces a lost disk gets a random one.
const firstIncarnation model.Incarnation = "first"

// Init creates the data folder of one of the replicas that start a cluster.
// The voters are all replicas of the settings. It returns an error if the host
// has no data folder in its settings or the folder is in use.
func Init(s *settings.Settings) error {
	if !s.IsReplica() {
		return errors.Errorf("host %s has no data_folder in its settings", s.Host)
	}
	var voters []consensus.NodeID
	for _, p := range s.Peers {
		if p.Replica {
			voters = append(voters, consensus.NodeID{Host: p.Host, Incarnation: firstIncarnation})
		}
	}
	id := storage.Identity{Cluster: s.Cluster, Host: s.Host, Incarnation: firstIncarnation}
	return storage.Init(s.DataFolder, id, voters)
}
