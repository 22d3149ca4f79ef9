package peer

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

// Credentials are the certificate of this process and the authority that
// signed those of its peers. The certificate's DNS name is the instance name.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadCredentials reads PEM files. Errors name the file.
func LoadCredentials(certFile, keyFile, authorityFile string) (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s with key %s: %w", certFile, keyFile, err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load authority %s: no certificate in PEM form", authorityFile)
	}
	return &Credentials{Certificate: cert, Authority: pool}, nil
}

func (c *Credentials) client(server state.InstanceID) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.Certificate},
		RootCAs:      c.Authority,
		ServerName:   string(server),
		NextProtos:   []string{alpn},
		MinVersion:   tls.VersionTLS13,
	}
}

func (c *Credentials) server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.Certificate},
		ClientCAs:    c.Authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{alpn},
		MinVersion:   tls.VersionTLS13,
	}
}

// resetKey derives the key of stateless resets. It depends only on the private
// key, so a restarted process can tell an entry at once that its session is gone;
// without it the entry sends on the old session until the silence timeout.
func (c *Credentials) resetKey() (*quic.StatelessResetKey, error) {
	private, err := x509.MarshalPKCS8PrivateKey(c.Certificate.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("derive the key of stateless resets: %w", err)
	}
	secret, err := hkdf.Key(sha256.New, private, nil, "cassiaramp stateless reset", len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, fmt.Errorf("derive the key of stateless resets: %w", err)
	}
	key := quic.StatelessResetKey(secret)
	return &key, nil
}

// identified reports whether the peer's certificate is issued to instance.
func identified(conn *quic.Conn, instance state.InstanceID) bool {
	chain := conn.ConnectionState().TLS.PeerCertificates
	return len(chain) > 0 && slices.Contains(chain[0].DNSNames, string(instance))
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       IdleSilence,
		MaxIncomingStreams:   maxStreams,
	}
}
