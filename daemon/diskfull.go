package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/storage"
)

// diskFullRetryInterval is the time between two tries of a write to a full disk. It is
// short beside an election, so that a replica is back as soon as there is room.
const diskFullRetryInterval = 250 * time.Millisecond

// retryWhileDiskFull calls try, and again for as long as the disk is full, until stop ends.
// It returns the error of the last try.
func retryWhileDiskFull(stop context.Context, log logevent.Logger, try func() error) error {
	err := try()
	if !errors.Is(err, storage.ErrNoRoom) {
		return err
	}
	log.Emit(logevent.DiskFull, logevent.Err(err))
	retry := time.NewTicker(diskFullRetryInterval)
	defer retry.Stop()
	for errors.Is(err, storage.ErrNoRoom) {
		select {
		case <-retry.C:
			err = try()
		case <-stop.Done():
			return err
		}
	}
	if err == nil {
		log.Emit(logevent.DiskHasRoom)
	}
	return err
}
