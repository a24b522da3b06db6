package maintenance

// PolicyName names a policy. The empty name is PolicySized.
type PolicyName string

// The policies. Processes use PolicySized; the others are kept to compare with
// in replays.
const (
	// PolicySized sizes pools by their learned need and failure domains.
	PolicySized PolicyName = "sized"
	// PolicyMinimum only fills pools to their minimum.
	PolicyMinimum PolicyName = "minimum"
	// PolicyFirstFit follows the demand of the moment with the fixed buffer of
	// the rules, takes the first host that it finds, and drains one host of the
	// fleet at a time.
	PolicyFirstFit PolicyName = "first-fit"
)

// Policies returns the names of all policies.
func Policies() []PolicyName { return []PolicyName{PolicySized, PolicyMinimum, PolicyFirstFit} }
