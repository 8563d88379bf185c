package dnsfront

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"time"
)

// cookieSecret makes cookies, for clients as their server and for servers as their client. Without state: it tells its own
// again by the address.
type cookieSecret [32]byte

func (s *cookieSecret) mac(parts ...[]byte) []byte {
	h := hmac.New(sha256.New, s[:])
	for _, p := range parts {
		h.Write([]byte{byte(len(p))})
		h.Write(p)
	}
	return h.Sum(nil)[:cookieSize]
}

// clientPart is our part of a cookie, the same for one server for as long as we run.
func (s *cookieSecret) clientPart(addr string) string {
	return hex.EncodeToString(s.mac([]byte("server"), []byte(addr)))
}

// serverPart is the server's part of a cookie of a client, with the time in it.
func (s *cookieSecret) serverPart(now time.Time, client netip.Addr, part string) string {
	at := binary.BigEndian.AppendUint32(nil, uint32(now.Unix()))
	return hex.EncodeToString(append(at, s.mac([]byte("client"), at, client.Unmap().AsSlice(), []byte(part))...))
}

// verify says whether a cookie is one of ours for this client and not old.
func (s *cookieSecret) verify(now time.Time, client netip.Addr, part, ours string) bool {
	b, err := hex.DecodeString(ours)
	if err != nil || len(b) != 4+cookieSize {
		return false
	}
	age := now.Sub(time.Unix(int64(binary.BigEndian.Uint32(b)), 0))
	return age < cookieLifetime && age > -maxClockSkew &&
		hmac.Equal(b[4:], s.mac([]byte("client"), b[:4], client.Unmap().AsSlice(), []byte(part)))
}
