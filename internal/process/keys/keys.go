// Package keys loads the certificates of a gateway's links (mutual TLS 1.3 between configured names), reloads them
// while links are up, and generates a small certificate authority for trials.
//
// A Store may be used by any goroutine; Reload replaces all of its contents at once.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"
)

// ExpiryWarning is how long before its expiry a warning about a certificate begins.
const ExpiryWarning = 30 * 24 * time.Hour

// Files has the paths of the PEM files of a gateway.
type Files struct {
	CA   string // authorities that the peers' certificates must be issued by
	Cert string // certificate of this gateway, with its chain
	Key  string
}

type certificates struct {
	pool *x509.CertPool
	cert tls.Certificate
	leaf *x509.Certificate
}

// Store holds the certificates of one gateway.
type Store struct {
	files   Files
	current atomic.Pointer[certificates]
}

// Load reads the files. An error names the file that cannot be used and the reason.
func Load(f Files) (*Store, error) {
	s := &Store{files: f}
	return s, s.Reload()
}

// Reload reads the files again. After an error the earlier certificates stay in use.
func (s *Store) Reload() error {
	text, err := os.ReadFile(s.files.CA)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	h := &certificates{pool: x509.NewCertPool()}
	if !h.pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("ca: %s: no certificate found", s.files.CA)
	}
	if h.cert, err = tls.LoadX509KeyPair(s.files.Cert, s.files.Key); err != nil {
		return fmt.Errorf("cert: %s: %w", s.files.Cert, err)
	}
	if h.leaf, err = x509.ParseCertificate(h.cert.Certificate[0]); err != nil {
		return fmt.Errorf("cert: %s: %w", s.files.Cert, err)
	}
	switch now := time.Now(); {
	case now.After(h.leaf.NotAfter):
		return fmt.Errorf("cert: %s: expired on %s", s.files.Cert, h.leaf.NotAfter.UTC().Format(time.DateTime))
	case len(h.leaf.DNSNames) == 0:
		return fmt.Errorf("cert: %s: certificate has no DNS name", s.files.Cert)
	}
	s.current.Store(h)
	return nil
}

// Name returns the first DNS name of the certificate, which identifies the gateway on links.
func (s *Store) Name() string { return s.current.Load().leaf.DNSNames[0] }

// NotAfter returns when the certificate expires.
func (s *Store) NotAfter() time.Time { return s.current.Load().leaf.NotAfter }

// ClientConfig returns the TLS configuration for dialling the named peer, whose certificate must have that name.
func (s *Store) ClientConfig(peer string) *tls.Config {
	h := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   peer,
		RootCAs:      h.pool,
		Certificates: []tls.Certificate{h.cert},
	}
}

// ServerConfig returns the TLS configuration for accepting links from any peer with a certificate of the authorities.
// The caller decides which names are allowed.
func (s *Store) ServerConfig() *tls.Config {
	h := s.current.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: h.pool,
		Certificates: []tls.Certificate{h.cert}, SessionTicketsDisabled: true}
}

// Generate writes an authority and a certificate for each name into a folder: ca.pem and ca.key, NAME.pem and NAME.key.
// An existing authority is used again; an existing certificate is replaced. It is meant for trials: the authority's key
// is stored next to the certificates.
func Generate(dir string, names []string, validity time.Duration) error {
	if len(names) == 0 {
		return errors.New("keys: no names given")
	}
	for _, n := range names {
		if n != filepath.Base(n) || n == "." || n == "ca" {
			return fmt.Errorf("keys: %q is not a valid name", n)
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, caKey, err := authority(dir, validity)
	if err != nil {
		return err
	}
	for _, n := range names {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return err
		}
		template := &x509.Certificate{
			Subject:     pkix.Name{CommonName: n},
			DNSNames:    []string{n},
			KeyUsage:    x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		if err := write(dir, n, template, ca, caKey, key, validity); err != nil {
			return err
		}
	}
	return nil
}

// authority loads the authority in a folder, or creates one.
func authority(dir string, validity time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	if errors.Is(err, os.ErrNotExist) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, nil, err
		}
		t := &x509.Certificate{
			Subject:               pkix.Name{CommonName: "molepaddle trial"},
			IsCA:                  true,
			BasicConstraintsValid: true,
			KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		}
		if err := write(dir, "ca", t, t, key, key, 10*validity); err != nil {
			return nil, nil, err
		}
		return authority(dir, validity)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("keys: the authority in %s: %w", dir, err)
	}
	ca, err := x509.ParseCertificate(pair.Certificate[0])
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if err != nil || !ok || !ca.IsCA {
		return nil, nil, fmt.Errorf("keys: %s has no ECDSA certificate authority", dir)
	}
	return ca, key, nil
}

func write(dir, name string, t, parent *x509.Certificate, signer, key *ecdsa.PrivateKey, validity time.Duration) error {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 100))
	if err != nil {
		return err
	}
	t.SerialNumber, t.NotBefore, t.NotAfter = serial, time.Now().Add(-time.Minute), time.Now().Add(validity)
	cert, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	blocks := map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: cert},
		name + ".key": {Type: "PRIVATE KEY", Bytes: secret},
	}
	for file, block := range blocks {
		// A reader sees either the old file or the new one.
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path+".new", pem.EncodeToMemory(block), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	return nil
}

// Describe returns a line for each certificate in a file, with its names and expiry, and a warning if that is near.
func Describe(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var lines []string
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		names := slices.Clone(c.DNSNames)
		if len(names) == 0 {
			names = []string{c.Subject.CommonName}
		}
		line := fmt.Sprintf("%v ends %s", names, c.NotAfter.UTC().Format("2006-01-02 15:04 UTC"))
		if c.IsCA {
			line = "authority " + line
		}
		switch left := time.Until(c.NotAfter); {
		case left <= 0:
			line += ": OVER"
		case left < ExpiryWarning:
			line += fmt.Sprintf(": in %.0f days", left.Hours()/24)
		}
		lines = append(lines, line)
	}
	if lines == nil {
		return nil, fmt.Errorf("%s: no certificate found", path)
	}
	return lines, nil
}
