package store

// Apply executes the command at an index of the log. A request that was applied before is not executed again; its
// cached result is returned. A rejected command changes nothing but the index and the cached results.
func (s *State) Apply(index uint64, command *Command) Result {
	s.index = index
	if command.ID == (RequestID{}) {
		return s.execute(command)
	}
	if result, ok := s.results.find(command.ID); ok {
		result.Duplicate = true
		return result
	}
	if command.SinceIndex < s.results.ring.lastDropped {
		return Result{Index: index, Revision: s.revision, Err: ErrRequestExpired}
	}
	result := s.execute(command)
	s.results.add(command.ID, result, s.limits.Results)
	return result
}

// SkipIndex advances the index past an entry of the log that contains no command.
func (s *State) SkipIndex(index uint64) { s.index = index }

func (s *State) execute(command *Command) Result {
	result := s.dispatch(command)
	result.Index, result.Revision = s.index, s.revision
	return result
}

func (s *State) dispatch(command *Command) Result {
	if err := s.Validate(command); err != nil {
		return Result{Err: err}
	}
	switch {
	case command.Txn != nil:
		return s.applyTxn(command.Txn)
	case command.GrantLease != nil:
		return s.grantLease(command.GrantLease)
	case command.RevokeLease != nil:
		return s.revokeLease(command.RevokeLease)
	case command.RenewLease != nil:
		return s.renewLease(command.RenewLease)
	case command.AddMember != nil:
		return s.addMember(command.AddMember)
	case command.RegisterStart != nil:
		return s.registerStart(command.RegisterStart)
	case command.RemoveMember != nil:
		return s.removeMember(command.RemoveMember)
	case command.RaiseLevel != nil:
		return s.raiseLevel(command.RaiseLevel)
	}
	return Result{Err: ErrUnknownCommand}
}

func (s *State) raiseLevel(raise *RaiseLevel) Result {
	for _, m := range s.members {
		if m.Level < raise.Level {
			return Result{Err: ErrUnsupportedLevel}
		}
	}
	s.level = max(s.level, raise.Level)
	return Result{}
}

// Validate returns the error of a command that Apply would reject regardless of the stored keys and leases, or nil. A
// replica calls it before it proposes a command, so that such a command is not replicated.
func (s *State) Validate(command *Command) error {
	if command.RequiredLevel() > s.level {
		return ErrUnsupportedLevel
	}
	if command.GrantLease != nil && len(command.GrantLease.Owner) > s.limits.KeyBytes {
		return ErrTooLarge
	}
	if command.Txn != nil {
		return s.validateTxn(command.Txn)
	}
	return nil
}

func (s *State) validateTxn(txn *Txn) error {
	if max(len(txn.If), len(txn.Then), len(txn.Else), len(txn.KeyLimits)) > s.limits.TxnOps {
		return ErrTooLarge
	}
	for _, limit := range txn.KeyLimits {
		if limit.Prefix == "" || len(limit.Prefix) > s.limits.KeyBytes || limit.MaxKeys < 1 {
			return ErrBadKey
		}
	}
	for _, cmp := range txn.If {
		if cmp.Key == "" || len(cmp.Key) > s.limits.KeyBytes {
			return ErrBadKey
		}
	}
	if err := s.validateOps(txn.Then); err != nil {
		return err
	}
	return s.validateOps(txn.Else)
}

func (s *State) validateOps(ops []Op) error {
	seen := make(map[string]bool, len(ops))
	for _, op := range ops {
		if op.Key == "" || seen[op.Key] {
			return ErrBadKey
		}
		seen[op.Key] = true
		if len(op.Key) > s.limits.KeyBytes || len(op.Value) > s.limits.ValueBytes {
			return ErrTooLarge
		}
	}
	return nil
}
