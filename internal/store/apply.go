package store

// Apply executes the command at an index of the log. A rejected command changes nothing but the index and the cached
// results.
func (s *State) Apply(index uint64, c *Command) Result {
	s.index = index
	if c.ID == (RequestID{}) {
		return s.execute(c)
	}
	if r, ok := s.results.find(c.ID); ok {
		r.Duplicate = true
		return r
	}
	if c.SinceIndex < s.results.ring.oldest {
		return Result{Index: index, Revision: s.revision, Err: ErrRequestExpired}
	}
	r := s.execute(c)
	s.results.add(c.ID, r, s.limits.Results)
	return r
}

// SkipIndex advances the index over an entry of the log that contains no command.
func (s *State) SkipIndex(index uint64) { s.index = index }

func (s *State) execute(c *Command) Result {
	r := s.dispatch(c)
	r.Index, r.Revision = s.index, s.revision
	return r
}

func (s *State) dispatch(c *Command) Result {
	if err := s.Validate(c); err != nil {
		return Result{Err: err}
	}
	switch {
	case c.Txn != nil:
		return s.applyTxn(c.Txn)
	case c.GrantLease != nil:
		return s.grantLease(c.GrantLease)
	case c.RevokeLease != nil:
		return s.revokeLease(c.RevokeLease)
	case c.RenewLease != nil:
		return s.renewLease(c.RenewLease)
	case c.AddMember != nil:
		return s.addMember(c.AddMember)
	case c.RegisterStart != nil:
		return s.registerStart(c.RegisterStart)
	case c.RemoveMember != nil:
		return s.removeMember(c.RemoveMember)
	case c.RaiseLevel != nil:
		return s.raiseLevel(c.RaiseLevel)
	}
	return Result{Err: ErrUnknownCommand}
}

func (s *State) raiseLevel(raise *RaiseLevel) Result {
	for _, m := range s.members {
		if m.Level < raise.Level {
			return Result{Err: ErrLevel}
		}
	}
	s.level = max(s.level, raise.Level)
	return Result{}
}

// Validate returns what is wrong with a command, so that it can be rejected before it is replicated. Apply rejects the
// same commands.
func (s *State) Validate(c *Command) error {
	if c.RequiredLevel() > s.level {
		return ErrLevel
	}
	if c.GrantLease != nil && len(c.GrantLease.Owner) > s.limits.KeyBytes {
		return ErrTooLarge
	}
	if c.Txn != nil {
		return s.validateTxn(c.Txn)
	}
	return nil
}

func (s *State) validateTxn(t *Txn) error {
	if max(len(t.If), len(t.Then), len(t.Else), len(t.KeyLimits)) > s.limits.TxnOps {
		return ErrTooLarge
	}
	for _, l := range t.KeyLimits {
		if l.Prefix == "" || len(l.Prefix) > s.limits.KeyBytes || l.MaxKeys < 1 {
			return ErrBadKey
		}
	}
	for _, cmp := range t.If {
		if cmp.Key == "" || len(cmp.Key) > s.limits.KeyBytes {
			return ErrBadKey
		}
	}
	if err := s.validateOps(t.Then); err != nil {
		return err
	}
	return s.validateOps(t.Else)
}

func (s *State) validateOps(ops []Op) error {
	seen := make(map[string]bool, len(ops))
	for _, o := range ops {
		if o.Key == "" || seen[o.Key] {
			return ErrBadKey
		}
		seen[o.Key] = true
		if len(o.Key) > s.limits.KeyBytes || len(o.Value) > s.limits.ValueBytes {
			return ErrTooLarge
		}
	}
	return nil
}
