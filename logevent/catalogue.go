package logevent

import "github.com/rs/zerolog"

// Entry is the catalogue's description of one event.
type Entry struct {
	ID      ID
	Name    string // stable, for searches in logs
	Level   zerolog.Level
	Message string
	Action  string // what an operator should do
}

// area is a range of a hundred numbers. Gaps in it leave room for events
// that belong next to each other.
type area struct {
	title   string
	entries []Entry
}

var processArea = area{"Process", []Entry{
	{ProcessStarted, "process_started", zerolog.InfoLevel,
		"the process has started",
		"Nothing."},
	{ProcessStopping, "process_stopping", zerolog.InfoLevel,
		"a graceful shutdown has begun",
		"Nothing: held requests are finished or refused as not run, then the process exits."},
	{ProcessStopped, "process_stopped", zerolog.InfoLevel,
		"the process has stopped",
		"Nothing, if the stop was planned."},
	{ConnectionsCut, "connections_cut", zerolog.WarnLevel,
		"a graceful shutdown ended before all callers' connections had",
		"Nothing, if a caller keeps a request unfinished. Otherwise tell the developers."},
	{SettingsLoaded, "settings_loaded", zerolog.InfoLevel,
		"the settings file was read",
		"Nothing."},
	{SettingsWarning, "settings_warning", zerolog.WarnLevel,
		"a setting is allowed but unusual",
		"Check the setting named in the reason."},
	{SettingsRefused, "settings_refused", zerolog.ErrorLevel,
		"the settings file has a fault and the process does not start",
		"Correct the line named in the reason and start the process again."},
	{ControlQueueFull, "control_queue_full", zerolog.WarnLevel,
		"the control queue is full and events were refused",
		"If it lasts, lower the load on this host or look for a slow disk or processor."},
	{JournalError, "journal_error", zerolog.ErrorLevel,
		"the event journal cannot be written and is closed",
		"Free space at the path of the record setting. Requests are not affected."},
	{InternalError, "internal_error", zerolog.ErrorLevel,
		"an internal error occurred",
		"Keep the log and the journal and report the fault to the developers."},
	{UnknownEvent, "unknown_event", zerolog.ErrorLevel,
		"an event without an entry in the catalogue was logged",
		"Report the number to the developers."},
}}

var replicatedLogAndStorageArea = area{"Replicated log and storage", []Entry{
	{LeaderElected, "leader_elected", zerolog.InfoLevel,
		"a leader was elected",
		"Nothing."},
	{LeaderLost, "leader_lost", zerolog.WarnLevel,
		"no leader is known",
		"Nothing if 200 follows within 3 s. Otherwise check that a majority of the replicas run and reach each other."},
	{TermChanged, "term_changed", zerolog.InfoLevel,
		"the term has changed",
		"Nothing. Terms that change every few seconds point to a slow disk or a poor link between replicas."},
	{DispatchReady, "dispatch_ready", zerolog.InfoLevel,
		"the new leader knows what is running and starts work",
		"Nothing."},
	{MemberAdded, "member_added", zerolog.InfoLevel,
		"a host was added to the cluster",
		"Nothing."},
	{ReplicaJoined, "replica_joined", zerolog.InfoLevel,
		"a replica has caught up and is a voter",
		"Nothing."},
	{ReplicaReplaced, "replica_replaced", zerolog.InfoLevel,
		"a replica has taken the place of its host's earlier identity",
		"Nothing. The earlier identity never votes again, so do not restore its data folder."},
	{VotersChanged, "voters_changed", zerolog.InfoLevel,
		"the set of voters has changed",
		"Nothing, if a replica was added or replaced."},
	{SnapshotWritten, "snapshot_written", zerolog.InfoLevel,
		"a snapshot was written and the log before it removed",
		"Nothing."},
	{SnapshotInstalled, "snapshot_installed", zerolog.InfoLevel,
		"a snapshot from the leader replaced the state of this host",
		"Nothing."},
	{LogTailTruncated, "log_tail_truncated", zerolog.WarnLevel,
		"records that were not synced were cut from the end of the log",
		"Nothing after a power loss or crash. Otherwise check the disk."},
	{DataFolderRefused, "data_folder_refused", zerolog.ErrorLevel,
		"the data folder is refused and the process does not start",
		"If the error says \"in use\", another process runs on the folder. Otherwise check the disk at the file and offset named. Replace the disk or empty the folder, so that the host joins as a new member."},
	{SyncFailed, "sync_failed", zerolog.ErrorLevel,
		"a write could not be synced and the process stops",
		"Replace the disk, empty the data folder and start the process, so that the host joins as a new member."},
	{SnapshotDamaged, "snapshot_damaged", zerolog.WarnLevel,
		"the newest snapshot is damaged; the older one and the log are used",
		"Check the disk. Replace the host if it happens again."},
	{DiskFull, "disk_full", zerolog.ErrorLevel,
		"the disk is full and writes to the data folder wait",
		"Free space. The process tries again by itself, several times a second."},
	{DiskHasRoom, "disk_has_room", zerolog.InfoLevel,
		"the disk has room again and the waiting write is done",
		"Nothing."},
	{DiskStalled, "disk_stalled", zerolog.WarnLevel,
		"the disk takes no writes and this leader hands over",
		"Check the disk of this host. If it lasts, replace the host."},
}}

var leasesAndHostsArea = area{"Leases and hosts", []Entry{
	{LeaseLost, "lease_lost", zerolog.WarnLevel,
		"the serving lease has ended and this host starts no new work",
		"Nothing if 301 follows within seconds. Otherwise check the links between this host and the leader."},
	{LeaseRegained, "lease_regained", zerolog.InfoLevel,
		"the serving lease was granted again",
		"Nothing."},
	{HostCutOff, "host_cut_off", zerolog.WarnLevel,
		"an entry host has not renewed its lease",
		"Check that the host runs and that its links work."},
	{HostReturned, "host_returned", zerolog.InfoLevel,
		"an entry host that was cut off renews its lease again",
		"Nothing."},
	{ContactLost, "contact_lost", zerolog.WarnLevel,
		"no leader answers this entry host",
		"If it lasts, check the replicas and the network between."},
	{ContactRegained, "contact_regained", zerolog.InfoLevel,
		"a leader answers this entry host",
		"Nothing."},
}}

var configurationAndKeysArea = area{"Configuration and keys", []Entry{
	{RulesAccepted, "rules_accepted", zerolog.InfoLevel,
		"a configuration was accepted",
		"Nothing: it is in force everywhere within 3 s."},
	{RulesRefused, "rules_refused", zerolog.WarnLevel,
		"a configuration was refused",
		"Correct the lines named in the answer and apply the file again."},
	{RulesInForce, "rules_in_force", zerolog.InfoLevel,
		"a configuration is in force on every host",
		"Nothing."},
	{KeyGranted, "key_granted", zerolog.InfoLevel,
		"a key was granted",
		"Nothing, if an operator asked for it."},
	{KeyWithdrawn, "key_withdrawn", zerolog.InfoLevel,
		"a key was withdrawn",
		"Nothing, if an operator asked for it."},
	{KeyRejected, "key_rejected", zerolog.InfoLevel,
		"requests with an unknown, withdrawn or missing key were refused",
		"Many of them point to a caller with an old key: give its team a new one."},
	{ConfigAccepted, "config_accepted", zerolog.InfoLevel,
		"a configuration was recorded",
		"Nothing. The index is its version."},
	{ConfigRefused, "config_refused", zerolog.WarnLevel,
		"a configuration was refused",
		"Correct what the error names and send it again."},
}}

var connectionsBetweenProcessesArea = area{"Connections between processes", []Entry{
	{PeerConnected, "peer_connected", zerolog.InfoLevel,
		"a peer is connected",
		"Nothing."},
	{PeerDisconnected, "peer_disconnected", zerolog.WarnLevel,
		"a peer is disconnected",
		"Nothing if 500 follows. Otherwise check the peer and the link."},
	{ClusterRefused, "cluster_refused", zerolog.ErrorLevel,
		"a message of another cluster was refused and its connection closed",
		"Correct the cluster or the peer addresses in the settings of the sender."},
	{PeerMessageMalformed, "peer_message_malformed", zerolog.ErrorLevel,
		"a malformed message from a peer was refused and its connection closed",
		"Check that both hosts run compatible versions."},
	{TLSRefused, "tls_refused", zerolog.WarnLevel,
		"a TLS handshake failed",
		"Check the certificates of both sides and their validity."},
	{PeerConnectionError, "peer_connection_error", zerolog.InfoLevel,
		"a connection between processes ended with an error",
		"Nothing if 500 follows on the host that opened the connection. Otherwise check the peer and the link."},
}}

var targetsAndWorkersArea = area{"Targets and workers", []Entry{
	{TargetRegistered, "target_registered", zerolog.InfoLevel,
		"a target was registered",
		"Nothing."},
	{TargetSilent, "target_silent", zerolog.WarnLevel,
		"a target sends no announcements and gets no new work",
		"Check the target and its links."},
	{TargetLeaving, "target_leaving", zerolog.InfoLevel,
		"a target is leaving and gets no new work",
		"Nothing."},
	{TargetRemoved, "target_removed", zerolog.InfoLevel,
		"a target was removed",
		"Nothing."},
	{TargetReturned, "target_returned", zerolog.InfoLevel,
		"a silent target announces itself again",
		"Nothing."},
	{AnnouncementRefused, "announcement_refused", zerolog.WarnLevel,
		"an announcement was refused",
		"Correct the sender: the reason names the field at fault."},
	{WorkerSeen, "worker_seen", zerolog.InfoLevel,
		"a worker reports for the first time or after silence",
		"Nothing."},
	{WorkerSilent, "worker_silent", zerolog.WarnLevel,
		"a worker sends no reports",
		"Check the worker. Its tasks are placed again once its lease has ended."},
	{WorkerQuarantined, "worker_quarantined", zerolog.WarnLevel,
		"a worker gets no tasks because distinct tasks failed on it or it does not start them",
		"Examine the worker and replace or reboot it."},
	{WorkerReleased, "worker_released", zerolog.InfoLevel,
		"the quarantine of a worker is over and it gets one task on trial",
		"Nothing, if 622 does not follow."},
	{WorkerGone, "worker_gone", zerolog.InfoLevel,
		"a worker has left",
		"Nothing."},
	{WorkerDraining, "worker_draining", zerolog.InfoLevel,
		"a worker drains and gets no new runs",
		"Nothing."},
}}

var tasksAndMaintenanceArea = area{"Tasks and maintenance", []Entry{
	{TaskPlaced, "task_placed", zerolog.DebugLevel,
		"a task was placed on a worker",
		"Nothing."},
	{TaskLost, "task_lost", zerolog.WarnLevel,
		"the worker of a task is lost",
		"Nothing: a task that is idempotent is placed again. The team sees the others as unknown."},
	{TaskFailed, "task_failed", zerolog.InfoLevel,
		"a task has failed",
		"Nothing. The team sees it in the state of the task."},
	{TaskRefused, "task_refused", zerolog.InfoLevel,
		"a task was refused at its submission",
		"Nothing. The submitter has the kind of the problem."},
	{TaskEnded, "task_ended", zerolog.DebugLevel,
		"a task has finished, was cancelled, or its outcome is unknown",
		"Nothing."},
	{TaskPreempted, "task_preempted", zerolog.InfoLevel,
		"a task of a team above its share was stopped for a team below it",
		"Nothing: the task is the next of its team. If it happens often, look at the shares."},
	{DrainStarted, "drain_started", zerolog.InfoLevel,
		"a host is being drained",
		"Nothing."},
	{DrainEnded, "drain_ended", zerolog.InfoLevel,
		"a host is drained",
		"Nothing."},
	{HostMoved, "host_moved", zerolog.InfoLevel,
		"a host has changed its pool",
		"Nothing."},
	{HostInService, "host_in_service", zerolog.InfoLevel,
		"a host is in service again after maintenance",
		"Nothing."},
	{WaveStep, "wave_step", zerolog.InfoLevel,
		"a host is in service again with the image of its maintenance wave",
		"Nothing."},
	{WaveStopped, "wave_stopped", zerolog.WarnLevel,
		"a maintenance wave has stopped",
		"The reason names the budget or the hosts that failed. Repair them or change the rules; the wave then continues."},
	{WaveEnded, "wave_ended", zerolog.InfoLevel,
		"a maintenance wave has finished all its hosts",
		"Remove the wave from the rules."},
	{DataCentreOut, "data_centre_out", zerolog.WarnLevel,
		"a data centre is out of service",
		"Nothing, if the rules ask for it."},
	{DataCentreIn, "data_centre_in", zerolog.InfoLevel,
		"a data centre is in service again",
		"Nothing."},
	{WaveHostChosen, "wave_host_chosen", zerolog.InfoLevel,
		"a host is being emptied for maintenance",
		"Nothing."},
	{HostOrdered, "host_ordered", zerolog.InfoLevel,
		"a host was ordered into maintenance or another pool",
		"Nothing."},
	{HostCallFailed, "host_call_failed", zerolog.WarnLevel,
		"a call to the owner of the hosts failed",
		"If it lasts, ask the owner of the hosts."},
	{WaveStarted, "wave_started", zerolog.InfoLevel,
		"a maintenance wave was recorded",
		"Nothing. The count is that of its hosts."},
	{WaveRefused, "wave_refused", zerolog.WarnLevel,
		"a maintenance wave was refused",
		"Correct what the error names and send it again."},
	{RunOrdered, "run_ordered", zerolog.InfoLevel,
		"a worker was told to start a task",
		"Nothing."},
	{RunEnded, "run_ended", zerolog.InfoLevel,
		"a worker has listed the end of a run",
		"Nothing, if the reason is done."},
	{RunStopped, "run_stopped", zerolog.InfoLevel,
		"a worker was told to stop a run",
		"Nothing."},
	{RunGivenUp, "run_given_up", zerolog.WarnLevel,
		"a run was recorded as ended that its worker did not list",
		"Look for what became of the worker just before."},
	{RunThrottled, "run_throttled", zerolog.InfoLevel,
		"a best-effort run was throttled or sped up",
		"Nothing."},
	{AdviceFailed, "advice_failed", zerolog.WarnLevel,
		"the service that knows a queue's policy gave no answer",
		"If it lasts, look at that service: jobs of the queue wait."},
	{ReportLost, "report_lost", zerolog.WarnLevel,
		"the result of a call was dropped since the control queue stayed full",
		"If it lasts, lower the load on this host or look for a slow disk or processor."},
}}

var requestsArea = area{"Requests", []Entry{
	{QueueFull, "queue_full", zerolog.WarnLevel,
		"a queue cannot start its requests within their patience",
		"If it lasts, give the pool more hosts or the team a larger share."},
	{RequestRefused, "request_refused", zerolog.DebugLevel,
		"a request was refused",
		"Nothing. The caller has the kind of the problem."},
	{RefusalsNotCounted, "refusals_not_counted", zerolog.WarnLevel,
		"refusals of the last second are missing in the burn report, because the process is stopping",
		"Nothing."},
	{OutcomeUnknown, "outcome_unknown", zerolog.WarnLevel,
		"a request may have run and its outcome is not known",
		"Have the team check its effect before it sends the request with a new idempotency key."},
	{ClaimUnknown, "claim_unknown", zerolog.WarnLevel,
		"a claim was made and its gateway is lost, so its outcome is not known",
		"Have the team check its effect before it sends the request with a new idempotency key."},
	{OutcomeNotRecorded, "outcome_not_recorded", zerolog.WarnLevel,
		"an attempt ended while the process was stopping and its end was not recorded",
		"Nothing. Its target's reports show the end."},
	{RetryBudgetSpent, "retry_budget_spent", zerolog.WarnLevel,
		"a team's retry budget is spent and failed requests are not retried",
		"Find out why the team's targets fail."},
	{CallGivenUp, "call_given_up", zerolog.WarnLevel,
		"a call was ended without an answer of the leader",
		"Check that a leader is known; if it is, look for its line about the same id."},
	{JobAccepted, "job_accepted", zerolog.InfoLevel,
		"a job was accepted",
		"Nothing."},
	{JobRefused, "job_refused", zerolog.InfoLevel,
		"a job was refused and never runs",
		"Nothing. The reason names what it lacked; the index is the version of the configuration."},
	{JobEnded, "job_ended", zerolog.InfoLevel,
		"a job has ended",
		"Nothing, unless the reason is failed: look for the ends of its runs."},
}}

// areas is the whole catalogue in the order of the numbers.
var areas = []area{processArea, replicatedLogAndStorageArea, leasesAndHostsArea, configurationAndKeysArea, connectionsBetweenProcessesArea, targetsAndWorkersArea, tasksAndMaintenanceArea, requestsArea}

var catalogue = index(areas)

func index(areas []area) map[ID]Entry {
	byID := map[ID]Entry{}
	for _, a := range areas {
		for _, e := range a.entries {
			byID[e.ID] = e
		}
	}
	return byID
}

// Lookup returns the entry of id.
func Lookup(id ID) (Entry, bool) {
	e, ok := catalogue[id]
	return e, ok
}

// Catalogue returns every entry in the order of the numbers.
func Catalogue() []Entry {
	var entries []Entry
	for _, a := range areas {
		entries = append(entries, a.entries...)
	}
	return entries
}
