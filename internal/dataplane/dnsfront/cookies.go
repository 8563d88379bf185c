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
	cookieSize         = 8              // bytes of the client's part, and of the MAC in the server's part
	clientCookieDigits = 2 * cookieSize // hexadecimal digits of the client's part
	cookieTimeSize     = 4              // bytes of the time in the server's part
	cookieLifetime     = time.Hour
	maxClockSkew       = 5 * time.Minute // by which the time of a cookie may lie in the future
)

// cookieSecret is the key of DNS cookies (RFC 7873), both for the server's part towards clients and for the client's
// part towards servers. Cookies are verified by computing them again, so that nothing is stored for each address.
type cookieSecret [32]byte

func newCookieSecret() *cookieSecret {
	s := new(cookieSecret)
	_, _ = rand.Read(s[:]) // never fails
	return s
}

// mac returns a MAC of parts. The length of each part is included, so that different parts never have the same input.
func (s *cookieSecret) mac(parts ...[]byte) []byte {
	hash := hmac.New(sha256.New, s[:])
	for _, part := range parts {
		hash.Write([]byte{byte(len(part))})
		hash.Write(part)
	}
	return hash.Sum(nil)[:cookieSize]
}

// clientPart returns, in hex, the client's part of the cookies for the server at addr.
func (s *cookieSecret) clientPart(addr string) string {
	return hex.EncodeToString(s.mac([]byte("server"), []byte(addr)))
}

// serverPart returns, in hex, the server's part of the cookie for a client: the time now and a MAC.
func (s *cookieSecret) serverPart(now time.Time, client netip.Addr, clientPart string) string {
	timestamp := binary.BigEndian.AppendUint32(nil, uint32(now.Unix()))
	return hex.EncodeToString(append(timestamp, s.clientMAC(timestamp, client, clientPart)...))
}

// verify reports whether this server gave serverPart to the client, less than cookieLifetime ago.
func (s *cookieSecret) verify(now time.Time, client netip.Addr, clientPart, serverPart string) bool {
	decoded, err := hex.DecodeString(serverPart)
	if err != nil || len(decoded) != cookieTimeSize+cookieSize {
		return false
	}
	timestamp, mac := decoded[:cookieTimeSize], decoded[cookieTimeSize:]
	age := now.Sub(time.Unix(int64(binary.BigEndian.Uint32(timestamp)), 0))
	if age >= cookieLifetime || age <= -maxClockSkew {
		return false
	}
	return hmac.Equal(mac, s.clientMAC(timestamp, client, clientPart))
}

func (s *cookieSecret) clientMAC(timestamp []byte, client netip.Addr, clientPart string) []byte {
	return s.mac([]byte("client"), timestamp, client.Unmap().AsSlice(), []byte(clientPart))
}
