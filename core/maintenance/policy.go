package maintenance

// PolicyName is the name of a policy. The empty name means PolicySized.
type PolicyName string

// The policies. Processes use PolicySized; the others exist for comparison in
// replays.
const (
	// PolicySized sizes pools by their estimated need and their failure domains.
	PolicySized PolicyName = "sized"
	// PolicyMinimum only keeps pools at their minimum.
	PolicyMinimum PolicyName = "minimum"
	// PolicyFirstFit sizes pools by the current demand plus the fixed buffer of the
	// rules, takes the first suitable host, and drains one host of the fleet at a
	// time.
	PolicyFirstFit PolicyName = "first-fit"
)

// Policies returns the names of all policies.
func Policies() []PolicyName { return []PolicyName{PolicySized, PolicyMinimum, PolicyFirstFit} }
