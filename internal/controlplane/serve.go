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

// serve starts to serve operators by a Unix socket and, if FollowerListen is set, followers by TCP. wrapStore may be
// nil.
func (p *Components) serve(
	storeSection *operatorconfig.Store, wrapStore func(admin.Store) admin.Store, keyPair *keys.Pair,
) error {
	if err := os.MkdirAll(filepath.Dir(storeSection.Socket), 0o700); err != nil {
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
	storeCopy := admin.Store(p.Store)
	if wrapStore != nil {
		storeCopy = wrapStore(storeCopy)
	}
	operatorServer, err := adminapi.Listen(storeSection.Socket, storeCopy, components)
	if err != nil {
		return err
	}
	p.closeListeners = operatorServer.Close
	if storeSection.FollowerListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", storeSection.FollowerListen)
	if err != nil {
		return errors.Join(fmt.Errorf("store: listen for followers: %w", err), operatorServer.Close())
	}
	replica := p.Store.(*engine.Engine) // only replicas may have FollowerListen, see package operatorconfig
	followerServer, err := admin.ServeFollowers(listener, replica, components.FollowerRules(), keyPair)
	if err != nil {
		return errors.Join(err, listener.Close(), operatorServer.Close())
	}
	p.closeListeners = func() error { return errors.Join(followerServer.Close(), operatorServer.Close()) }
	return nil
}
