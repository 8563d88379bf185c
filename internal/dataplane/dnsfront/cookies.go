package dnsfront

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"time"
)

const (
	cookieSize         = 8              // bytes of a client's part, and of the MAC in a server's part
	clientCookieDigits = 2 * cookieSize // hexadecimal digits of a client's part
	cookieTimeSize     = 4              // bytes of the time in a server's part
	cookieLifetime     = time.Hour
	maxClockSkew       = 5 * time.Minute
)

// cookieSecret makes DNS cookies (RFC 7873), both as the server of clients and as the client of servers. Cookies are
// verified by computing them again, so that nothing is stored for each address.
type cookieSecret [32]byte

func newCookieSecret() *cookieSecret {
	s := new(cookieSecret)
	_, _ = rand.Read(s[:]) // never fails
	return s
}

func (s *cookieSecret) mac(parts ...[]byte) []byte {
	h := hmac.New(sha256.New, s[:])
	for _, p := range parts {
		h.Write([]byte{byte(len(p))})
		h.Write(p)
	}
	return h.Sum(nil)[:cookieSize]
}

// clientPart returns, in hex, the client's part of the cookies that are sent to one server.
func (s *cookieSecret) clientPart(addr string) string {
	return hex.EncodeToString(s.mac([]byte("server"), []byte(addr)))
}

// serverPart returns, in hex, the server's part of the cookie for a client, which contains the time.
func (s *cookieSecret) serverPart(now time.Time, client netip.Addr, clientPart string) string {
	at := binary.BigEndian.AppendUint32(nil, uint32(now.Unix()))
	return hex.EncodeToString(append(at, s.clientMAC(at, client, clientPart)...))
}

// verify reports whether serverPart is one that this server gave to the client within the lifetime of cookies.
func (s *cookieSecret) verify(now time.Time, client netip.Addr, clientPart, serverPart string) bool {
	b, err := hex.DecodeString(serverPart)
	if err != nil || len(b) != cookieTimeSize+cookieSize {
		return false
	}
	at, mac := b[:cookieTimeSize], b[cookieTimeSize:]
	age := now.Sub(time.Unix(int64(binary.BigEndian.Uint32(at)), 0))
	if age >= cookieLifetime || age <= -maxClockSkew {
		return false
	}
	return hmac.Equal(mac, s.clientMAC(at, client, clientPart))
}

func (s *cookieSecret) clientMAC(at []byte, client netip.Addr, clientPart string) []byte {
	return s.mac([]byte("client"), at, client.Unmap().AsSlice(), []byte(clientPart))
}
