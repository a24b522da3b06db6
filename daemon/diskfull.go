package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/storage"
)

// diskFullRetryInterval is the time between two attempts to write to a full disk. It
// is short compared with an election, so that a replica resumes as soon as there is
// free space.
const diskFullRetryInterval = 250 * time.Millisecond

// retryWhileDiskFull calls try and repeats the call while the disk is full, until stop
// ends. It returns the error of the last call.
func retryWhileDiskFull(stop context.Context, log logevent.Logger, try func() error) error {
	err := try()
	if !errors.Is(err, storage.ErrNoSpace) {
		return err
	}
	log.Emit(logevent.DiskFull, logevent.Err(err))
	retry := time.NewTicker(diskFullRetryInterval)
	defer retry.Stop()
	for errors.Is(err, storage.ErrNoSpace) {
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
