package bundlecmd

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Keys groups the key subcommands.
type Keys struct {
	New *KeysNew `arg:"subcommand:new" help:"create an operator's key pair"`
	TLS *KeysTLS `arg:"subcommand:tls" help:"create an authority and instance certificates"`
}

// KeysNew creates an operator's Ed25519 key pair.
type KeysNew struct {
	Operator string `arg:"positional,required" help:"name of the operator"`
	Dir      string `arg:"--dir" default:"." help:"directory for OPERATOR.key and OPERATOR.pub"`
	outputFlags
}

// Types of PEM blocks.
const (
	privateKeyBlock  = "PRIVATE KEY"
	certificateBlock = "CERTIFICATE"
)

// Run writes the key files; existing ones are never replaced.
func (c *KeysNew) Run(_ context.Context, out io.Writer) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	path := filepath.Join(c.Dir, c.Operator)
	if err := writePrivateKey(path+".key", private); err != nil {
		return err
	}
	text := base64.StdEncoding.EncodeToString(public)
	if err := writeNewFile(path+".pub", []byte(text+"\n"), 0o644); err != nil {
		return err
	}
	result := struct {
		Operator  string `json:"operator"`
		PublicKey string `json:"public_key"`
		KeyFile   string `json:"key_file"`
	}{c.Operator, text, path + ".key"}
	return c.writeResult(out, result, func(w io.Writer) {
		fmt.Fprintf(w, "wrote %s.key and %s.pub\nfor signers.keys: %q: %q\n", path, path, c.Operator, text)
	})
}

// writePrivateKey writes a new file with the key in PKCS #8 and PEM form, readable by
// its owner only.
func writePrivateKey(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writeNewFile(path, pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: der}), 0o600)
}

// readPrivateKey reads a file that writePrivateKey wrote.
func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != privateKeyBlock {
		return nil, fmt.Errorf("%s: no private key in PEM form", path)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: the private key is not an Ed25519 key", path)
	}
	return private, nil
}

// KeysTLS creates a certificate authority and certificates for sessions between
// processes.
type KeysTLS struct {
	Instances []string      `arg:"positional,required" placeholder:"INSTANCE" help:"instance names; each gets INSTANCE.pem and INSTANCE.key"`
	Dir       string        `arg:"--dir" default:"." help:"directory; an authority.pem and authority.key found there are used"`
	IPs       []string      `arg:"--ip,separate" placeholder:"ADDRESS" help:"IP address in the certificates; may be repeated [default: 127.0.0.1]"`
	Validity  time.Duration `arg:"--validity" default:"8760h" help:"validity of new certificates"`
	outputFlags
}

// clockMargin is how far the validity of certificates starts in the past, for
// instances whose clocks are behind.
const clockMargin = time.Hour

// authority is the certificate authority that signs instance certificates.
type authority struct {
	cert *x509.Certificate
	key  ed25519.PrivateKey
}

// Run writes the files; existing ones are never replaced.
func (c *KeysTLS) Run(_ context.Context, out io.Writer) error {
	ips, err := c.ipAddresses()
	if err != nil {
		return err
	}
	ca, err := c.loadOrCreateAuthority()
	if err != nil {
		return err
	}
	for _, name := range c.Instances {
		if err := c.issueCertificate(ca, name, ips); err != nil {
			return err
		}
	}
	result := struct {
		Authority string   `json:"authority"`
		Instances []string `json:"instances"`
	}{filepath.Join(c.Dir, "authority.pem"), c.Instances}
	return c.writeResult(out, result, func(w io.Writer) {
		fmt.Fprintf(w, "authority %s, certificates for %d instances in %s\n", result.Authority, len(c.Instances), c.Dir)
	})
}

// ipAddresses parses --ip; the default is 127.0.0.1.
func (c *KeysTLS) ipAddresses() ([]net.IP, error) {
	if len(c.IPs) == 0 {
		return []net.IP{net.IPv4(127, 0, 0, 1)}, nil
	}
	var ips []net.IP
	for _, text := range c.IPs {
		ip := net.ParseIP(text)
		if ip == nil {
			return nil, &ExitError{Code: ExitUsage, Err: fmt.Errorf("--ip %q is not an IP address", text)}
		}
		ips = append(ips, ip)
	}
	return ips, nil
}

// loadOrCreateAuthority reads the authority from the directory, or creates it there if
// authority.pem does not exist.
func (c *KeysTLS) loadOrCreateAuthority() (*authority, error) {
	path := filepath.Join(c.Dir, "authority")
	raw, err := os.ReadFile(path + ".pem")
	if errors.Is(err, fs.ErrNotExist) {
		return c.createAuthority(path)
	}
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != certificateBlock {
		return nil, fmt.Errorf("%s.pem: no certificate in PEM form", path)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s.pem: %w", path, err)
	}
	key, err := readPrivateKey(path + ".key")
	if err != nil {
		return nil, err
	}
	return &authority{cert: cert, key: key}, nil
}

// createAuthority writes a new self-signed authority to path with the endings .pem and
// .key.
func (c *KeysTLS) createAuthority(path string) (*authority, error) {
	template, err := c.certificateTemplate("cassiaramp authority")
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, err
	}
	if err := writeCertificate(path, der, private); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &authority{cert: cert, key: private}, nil
}

// issueCertificate writes a new key and a certificate for the instance with this name.
func (c *KeysTLS) issueCertificate(ca *authority, name string, ips []net.IP) error {
	template, err := c.certificateTemplate(name)
	if err != nil {
		return err
	}
	template.DNSNames = []string{name}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, public, ca.key)
	if err != nil {
		return err
	}
	return writeCertificate(filepath.Join(c.Dir, name), der, private)
}

// certificateTemplate returns what all certificates have in common: a random serial
// number, the subject and the validity.
func (c *KeysTLS) certificateTemplate(name string) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockMargin),
		NotAfter:     now.Add(c.Validity),
	}, nil
}

// writeCertificate writes the key and the certificate to path with the endings .key and
// .pem.
func writeCertificate(path string, der []byte, key ed25519.PrivateKey) error {
	if err := writePrivateKey(path+".key", key); err != nil {
		return err
	}
	return writeNewFile(path+".pem", pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}), 0o644)
}
