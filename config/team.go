package config

// Team is a customer of the operators. Its requests carry one of its keys.
type Team struct {
	// Name is unique within the file.
	Name string
	// Keys are the keys of the team; no two teams have the same.
	Keys []string
	// Priority goes before the priority of a kind; 0 is the highest.
	Priority uint8
	// Rate is the maximum rate of the team's requests over all daemons together, in requests
	// per second, and Burst how many may come on top of it; there is no limit if Rate is zero.
	Rate  float64
	Burst float64
}

// Limited reports whether the rate of the team's requests is limited.
func (t *Team) Limited() bool { return t.Rate > 0 }

// teamIndex finds teams by name and by key.
type teamIndex struct {
	byName map[string]*Team
	byKey  map[string]*Team
}

func newTeamIndex(teams []Team) teamIndex {
	index := teamIndex{byName: make(map[string]*Team, len(teams)), byKey: make(map[string]*Team, len(teams))}
	for i := range teams {
		team := &teams[i]
		index.byName[team.Name] = team
		for _, key := range team.Keys {
			index.byKey[key] = team
		}
	}
	return index
}

// HasTeams reports whether requests on routes that are not public need the key of a team.
func (t *Table) HasTeams() bool { return len(t.teams.byName) > 0 }

// TeamOf returns the team that has a key; nil if none has.
func (t *Table) TeamOf(key string) *Team { return t.teams.byKey[key] }

// Team returns the team with the given name.
func (t *Table) Team(name string) (*Team, bool) {
	team, ok := t.teams.byName[name]
	return team, ok
}
