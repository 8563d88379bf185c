package store

import "slices"

// Member is a replica that belongs to the cluster.
type Member struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Address string `cbor:"3,keyasint" json:"address"`
	Learner bool   `cbor:"4,keyasint,omitempty" json:"learner,omitempty"`
	DiskID  uint64 `cbor:"5,keyasint,omitempty" json:"disk,omitempty"`  // disk registered for this member; 0: none yet
	Boot    uint64 `cbor:"6,keyasint,omitempty" json:"boot,omitempty"`  // number of its last registered start
	Level   uint64 `cbor:"7,keyasint,omitempty" json:"level,omitempty"` // highest command level its build knows
}

// Members returns the members of the cluster, sorted by ID.
func (s *State) Members() []Member { return slices.Clone(s.members) }

// Member returns the member with an ID and whether there is one.
func (s *State) Member(id uint64) (Member, bool) {
	if i := s.memberIndex(id); i >= 0 {
		return s.members[i], true
	}
	return Member{}, false
}

// memberIndex returns the index of a member in s.members, or -1 if there is no such member.
func (s *State) memberIndex(id uint64) int {
	return slices.IndexFunc(s.members, func(m Member) bool { return m.ID == id })
}

// SetVoter makes a member a voter or a learner. Package replica calls it when raft applies a configuration change.
func (s *State) SetVoter(id uint64, voter bool) {
	if i := s.memberIndex(id); i >= 0 {
		s.members = slices.Clone(s.members)
		s.members[i].Learner = !voter
	}
}

// Bootstrap adds the first member of a new cluster as a voter. The member gets the next ID, which is 1 in a new state.
func (s *State) Bootstrap(name, address string, diskID uint64) {
	s.lastID++
	s.members = []Member{{ID: s.lastID, Name: name, Address: address, DiskID: diskID, Level: Level}}
}

func (s *State) addMember(add *AddMember) Result {
	if add.Name == "" || len(add.Name)+len(add.Address) > s.limits.KeyBytes {
		return Result{Err: ErrBadKey}
	}
	if len(s.members) >= s.limits.Members {
		return Result{Err: ErrFull}
	}
	for _, m := range s.members {
		if m.Name == add.Name {
			return Result{MemberID: m.ID, Err: ErrInvalidMember}
		}
	}
	s.lastID++
	added := Member{ID: s.lastID, Name: add.Name, Address: add.Address, Learner: true}
	s.members = append(slices.Clone(s.members), added)
	return Result{MemberID: s.lastID}
}

func (s *State) registerStart(start *RegisterStart) Result {
	i := s.memberIndex(start.MemberID)
	if i < 0 {
		return Result{Err: ErrInvalidMember}
	}
	m := s.members[i]
	otherDisk := m.DiskID != 0 && m.DiskID != start.DiskID
	if otherDisk || m.Boot > start.Boot {
		return Result{MemberID: start.MemberID, Err: ErrInvalidMember}
	}
	m.DiskID, m.Boot, m.Level = start.DiskID, start.Boot, start.Level
	s.members = slices.Clone(s.members)
	s.members[i] = m
	return Result{MemberID: start.MemberID}
}

func (s *State) removeMember(remove *RemoveMember) Result {
	i := s.memberIndex(remove.MemberID)
	if i < 0 || len(s.members) == 1 {
		return Result{Err: ErrInvalidMember}
	}
	s.members = slices.Delete(slices.Clone(s.members), i, i+1)
	return Result{MemberID: remove.MemberID}
}
