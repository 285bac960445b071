package lease

import (
	"fmt"
	"slices"

	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Closing describes a transaction in which one member closes the row of a holder.
type Closing struct {
	// Row is the holder's row as read at Version.
	Row     wire.Member
	Version uint64
	// Closer is the member that closes the row; CloserVersion is the version of
	// the member row of Closer.
	Closer        wire.Generation
	CloserVersion uint64
	Heirs         []wire.Generation
	// Witnesses are the witnesses listed in the closed row. If there are none, the closed
	// row does not count as a vote in other takeovers.
	Witnesses []wire.Generation
	Change    string
	Reason    string
}

// Transaction returns the write of the closed row, conditional on the versions of the
// closer's row and of the holder's row.
func (c Closing) Transaction() (storage.Transaction, error) {
	row := c.Row
	row.State = wire.StateClosed
	row.Heirs = slices.Clone(c.Heirs)
	row.Witnesses = c.Witnesses
	row.Change, row.Reason = c.Change, c.Reason
	value, err := wire.Encode(&row)
	if err != nil {
		return storage.Transaction{}, fmt.Errorf("encode closed row: %w", err)
	}
	key := routes.MemberKey(row.Generation)
	return storage.Transaction{
		ID: c.Change,
		Conditions: []storage.Condition{
			{Key: routes.MemberKey(c.Closer), Version: c.CloserVersion},
			{Key: key, Version: c.Version},
		},
		Writes: []storage.Write{{Key: key, Value: value}},
	}, nil
}
