package quicsession

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"

	"github.com/quic-go/quic-go"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// alpn is the application protocol negotiated in the TLS handshake.
const alpn = "cassiaramp/1"

// Credentials are the certificate of this process and the authority that signed the
// certificates of its peers. The DNS name of a certificate is the instance name.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadCredentials reads credentials from PEM files. Its errors name the file.
func LoadCredentials(certFile, keyFile, authorityFile string) (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s with key %s: %w", certFile, keyFile, err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read certificate authority %s: no certificate in PEM form", authorityFile)
	}
	return &Credentials{Certificate: cert, Authority: pool}, nil
}

// clientTLS returns the TLS configuration of a connection to the instance server.
func (c *Credentials) clientTLS(server state.InstanceID) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.Certificate},
		RootCAs:      c.Authority,
		ServerName:   string(server),
		NextProtos:   []string{alpn},
		MinVersion:   tls.VersionTLS13,
	}
}

// serverTLS returns the TLS configuration for accepting connections.
func (c *Credentials) serverTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.Certificate},
		ClientCAs:    c.Authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{alpn},
		MinVersion:   tls.VersionTLS13,
	}
}

// statelessResetKey derives the key of QUIC stateless resets from the private key. The
// key is thus the same after a restart, and the restarted process can tell an entry at
// once that its session no longer exists. Otherwise the entry would send on the old
// session until the silence timeout.
func (c *Credentials) statelessResetKey() (*quic.StatelessResetKey, error) {
	private, err := x509.MarshalPKCS8PrivateKey(c.Certificate.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("derive the stateless reset key: %w", err)
	}
	secret, err := hkdf.Key(sha256.New, private, nil, "cassiaramp stateless reset", len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, fmt.Errorf("derive the stateless reset key: %w", err)
	}
	key := quic.StatelessResetKey(secret)
	return &key, nil
}

// certificateIssuedTo reports whether the certificate of the peer of conn is issued to
// instance.
func certificateIssuedTo(conn *quic.Conn, instance state.InstanceID) bool {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	return len(certificates) > 0 && slices.Contains(certificates[0].DNSNames, string(instance))
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       IdleSilenceTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}
