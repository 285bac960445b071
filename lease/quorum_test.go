package lease_test

import (
	"testing"

	"fulmarrun/lease"
)

func TestQuorum(t *testing.T) {
	for _, tc := range []struct{ witnesses, renewals, votes int }{
		{0, 0, 0}, {1, 1, 1}, {2, 1, 2}, {3, 2, 2}, {4, 0, 0}, {-1, 0, 0},
	} {
		renewals, votes := lease.Quorum(tc.witnesses)
		if renewals != tc.renewals || votes != tc.votes {
			t.Errorf("Quorum(%d) = %d, %d, want %d, %d", tc.witnesses, renewals, votes, tc.renewals, tc.votes)
		}
		if renewals > 0 && renewals+votes <= tc.witnesses {
			t.Errorf("Quorum(%d): renewals and votes need not meet", tc.witnesses)
		}
	}
}
