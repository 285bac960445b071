package lease

// MaxWitnesses is the maximum number of witnesses in a member row.
const MaxWitnesses = 3

// Quorum returns how many of a holder's witnesses must renew its lease, and how many
// must vote to end it. Their sum is greater than the number of witnesses, so that the
// two quorums overlap. It returns zeros for a number of witnesses with which a lease
// is not possible.
func Quorum(witnesses int) (renewals, votes int) {
	switch witnesses {
	case 1:
		return 1, 1
	case 2:
		return 1, 2
	case 3:
		return 2, 2
	default:
		return 0, 0
	}
}
