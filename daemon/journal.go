package daemon

import (
	"primrosedale.example/primrosedale/control"
	"primrosedale.example/primrosedale/core"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/recording"
)

// openJournal starts the event journal that is configured in the settings. It returns
// nil if none is configured.
func (d *Daemon) openJournal(cfg core.Config, stored core.Stored, now model.Time, rand uint64) (*recording.Recorder, error) {
	if d.settings.JournalPath == "" {
		return nil, nil
	}
	w, err := recording.Create(d.settings.JournalPath, cfg, stored, now, rand)
	if err != nil {
		return nil, err
	}
	return recording.NewRecorder(w, func(err error) {
		d.log.Emit(logevent.JournalError, logevent.Err(err))
	}), nil
}

// recorder returns the journal, or a nil interface without one.
func (d *Daemon) recorder() control.Recorder {
	if d.journal == nil {
		return nil
	}
	return d.journal
}
