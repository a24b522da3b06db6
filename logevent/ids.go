package logevent

// ID is the number of a log event. Numbers are never reused for another
// event, since operators' alerts refer to them.
type ID int

// Process.
const (
	ProcessStarted   ID = 100
	ProcessStopping  ID = 101
	ProcessStopped   ID = 102
	ConnectionsCut   ID = 103
	SettingsLoaded   ID = 110
	SettingsWarning  ID = 111
	SettingsRefused  ID = 112
	ControlQueueFull ID = 120
	JournalError     ID = 121
	InternalError    ID = 190
	UnknownEvent     ID = 191
)

// Replicated log and storage.
const (
	LeaderElected     ID = 200
	LeaderLost        ID = 201
	TermChanged       ID = 202
	DispatchReady     ID = 203
	MemberAdded       ID = 210
	ReplicaJoined     ID = 211
	ReplicaReplaced   ID = 212
	VotersChanged     ID = 213
	ReplicaRetired    ID = 214
	SnapshotWritten   ID = 220
	SnapshotInstalled ID = 221
	LogTailTruncated  ID = 230
	SnapshotDamaged   ID = 233
	DataFolderRefused ID = 231
	SyncFailed        ID = 232
	DiskFull          ID = 234
	DiskHasRoom       ID = 235
	DiskStalled       ID = 236
)

// Leases and hosts.
const (
	LeaseLost       ID = 300
	LeaseRegained   ID = 301
	HostCutOff      ID = 310
	HostReturned    ID = 311
	ContactLost     ID = 320
	ContactRegained ID = 321
)

// Configuration and keys.
const (
	RulesAccepted   ID = 400
	RulesRefused    ID = 401
	RulesInForce    ID = 402
	KeyGranted      ID = 410
	KeyWithdrawn    ID = 411
	KeyRejected     ID = 412
	ConfigAccepted  ID = 420
	ConfigRefused   ID = 421
	ConfigTakenOver ID = 422
	ConfigRead      ID = 423
)

// Connections between processes.
const (
	PeerConnected        ID = 500
	PeerDisconnected     ID = 501
	ClusterRefused       ID = 510
	PeerMessageMalformed ID = 511
	TLSRefused           ID = 512
	PeerConnectionError  ID = 513
)

// Targets and workers.
const (
	TargetRegistered    ID = 600
	TargetSilent        ID = 601
	TargetLeaving       ID = 602
	TargetRemoved       ID = 603
	TargetReturned      ID = 604
	AnnouncementRefused ID = 610
	WorkerSeen          ID = 620
	WorkerSilent        ID = 621
	WorkerQuarantined   ID = 622
	WorkerReleased      ID = 623
	WorkerGone          ID = 624
	WorkerDraining      ID = 625
	AnswersLost         ID = 626
	LeaderLoad          ID = 627
	WorkerRestarted     ID = 628
	HeartbeatIgnored    ID = 629
	HostEntryIgnored    ID = 630
)

// Tasks and maintenance.
const (
	TaskPlaced     ID = 700
	TaskLost       ID = 701
	TaskFailed     ID = 702
	TaskRefused    ID = 703
	TaskEnded      ID = 704
	TaskPreempted  ID = 705
	DrainStarted   ID = 710
	DrainEnded     ID = 711
	HostMoved      ID = 712
	HostInService  ID = 713
	WaveStep       ID = 720
	WaveStopped    ID = 721
	WaveEnded      ID = 722
	DataCentreOut  ID = 730
	DataCentreIn   ID = 731
	WaveHostChosen ID = 740
	HostOrdered    ID = 741
	HostCallFailed ID = 742
	WaveStarted    ID = 743
	WaveRefused    ID = 744
	HostReleased   ID = 745
	WaveHostWaits  ID = 746
	RunOrdered     ID = 750
	RunEnded       ID = 751
	RunStopped     ID = 752
	RunGivenUp     ID = 753
	ReportLost     ID = 756
	ListUnread     ID = 757
	AdviceFailed   ID = 755
	RunThrottled   ID = 754
	RunRepeated    ID = 758
	LostRunListed  ID = 759
)

// Requests.
const (
	QueueFull          ID = 800
	RequestRefused     ID = 801
	RefusalsNotCounted ID = 802
	OutcomeUnknown     ID = 810
	ClaimUnknown       ID = 811
	OutcomeNotRecorded ID = 812
	RetryBudgetSpent   ID = 820
	CallGivenUp        ID = 831
	CallSuperseded     ID = 832
	CallRefused        ID = 833
	JobAccepted        ID = 840
	JobRefused         ID = 841
	JobEnded           ID = 842

	ReservationMade      ID = 870
	ReservationMet       ID = 871
	ReservationAbandoned ID = 872
	CallsHeld            ID = 880
	SubmissionOutdated   ID = 881
	LearnedRestored      ID = 882
	LearnedIgnored       ID = 883
	IntakeRefused        ID = 890
	TeamPart             ID = 860
)
