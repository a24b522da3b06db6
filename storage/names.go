package storage

import (
	"fmt"
	"slices"
	"strings"
)

// Names and suffixes of files other than segments and snapshots.
const (
	identityName = "identity"
	// pendingIdentityName is the identity file of a folder that is being created.
	// Its rename to identityName is the last step of the creation.
	pendingIdentityName = "identity.new"
	temporarySuffix     = ".tmp"
	damagedSuffix       = ".damaged"
)

// folderContents lists the files of a folder by purpose.
type folderContents struct {
	identity        bool
	pendingIdentity bool
	segments        []uint64 // numbers, ascending
	snapshots       []uint64 // indices, ascending
	temporary       []string
}

// hasLog reports whether there is a segment or a snapshot.
func (c folderContents) hasLog() bool { return len(c.segments)+len(c.snapshots) > 0 }

// classify sorts file names by purpose. Unknown names are ignored.
func classify(names []string) folderContents {
	var c folderContents
	for _, name := range names {
		var number uint64
		switch {
		case name == identityName:
			c.identity = true
		case name == pendingIdentityName:
			c.pendingIdentity = true
		case strings.HasSuffix(name, temporarySuffix):
			c.temporary = append(c.temporary, name)
		case parseName(name, "wal-%020d.log", &number):
			c.segments = append(c.segments, number)
		case parseName(name, "snap-%020d.snap", &number):
			c.snapshots = append(c.snapshots, number)
		}
	}
	slices.Sort(c.segments)
	slices.Sort(c.snapshots)
	return c
}

// parseName extracts the number from a name that has exactly this format.
func parseName(name, format string, number *uint64) bool {
	if _, err := fmt.Sscanf(name, format, number); err != nil {
		return false
	}
	return fmt.Sprintf(format, *number) == name
}
