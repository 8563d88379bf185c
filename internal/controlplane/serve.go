package controlplane

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
)

// serve serves operators by a Unix socket and, if it is configured, followers by TCP.
func (p *Components) serve(s *operatorconfig.Store, wrapStore func(admin.Store) admin.Store, pair *keys.Pair) error {
	if err := os.MkdirAll(filepath.Dir(s.Socket), 0o700); err != nil {
		return err
	}
	components := adminapi.Components{
		Servers:  p.Servers,
		Settings: p.Settings,
		Tasks:    p.Tasks,
		Limits:   p.Limits,
		Clock:    p.clock,
		Usage:    p.Usage,
	}
	copyOfStore := admin.Store(p.Store)
	if wrapStore != nil {
		copyOfStore = wrapStore(copyOfStore)
	}
	operators, err := adminapi.Listen(s.Socket, copyOfStore, components)
	if err != nil {
		return err
	}
	p.closeServers = operators.Close
	if s.FollowerListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.FollowerListen)
	if err != nil {
		return errors.Join(fmt.Errorf("store: %w", err), operators.Close())
	}
	replica := p.Store.(*engine.Engine) // a follower's file has no FollowerListen
	followers, err := admin.ServeFollowers(listener, replica, components.FollowerRules(), pair)
	if err != nil {
		return errors.Join(err, listener.Close(), operators.Close())
	}
	p.closeServers = func() error { return errors.Join(followers.Close(), operators.Close()) }
	return nil
}
