// Package keys holds the certificates of a gateway's links: mutual TLS 1.3 between names that
// both ends know. It reads them, reads them again while links are up, and makes a small
// authority of its own for a trial set-up.
//
// A Store may be used by any goroutine; Reload replaces all that it holds at once.
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

// Warn is how long before its end a certificate is warned of.
const Warn = 30 * 24 * time.Hour

// Files names what a gateway's certificates are in, all PEM.
type Files struct {
	CA   string // authorities that the peers' certificates must come from
	Cert string // this gateway's, with what leads to its authority
	Key  string
}

type held struct {
	pool *x509.CertPool
	cert tls.Certificate
	leaf *x509.Certificate
}

// Store is the certificates of one gateway.
type Store struct {
	files Files
	now   atomic.Pointer[held]
}

// Load reads the files. An error names the one that can't be used and says why.
func Load(f Files) (*Store, error) {
	s := &Store{files: f}
	return s, s.Reload()
}

// Reload reads the files again. Where that fails, what was held stays.
func (s *Store) Reload() error {
	text, err := os.ReadFile(s.files.CA)
	if err != nil {
		return fmt.Errorf("ca: %w", err)
	}
	h := &held{pool: x509.NewCertPool()}
	if !h.pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("ca: %s: no certificate in it", s.files.CA)
	}
	if h.cert, err = tls.LoadX509KeyPair(s.files.Cert, s.files.Key); err != nil {
		return fmt.Errorf("cert: %s: %w", s.files.Cert, err)
	}
	if h.leaf, err = x509.ParseCertificate(h.cert.Certificate[0]); err != nil {
		return fmt.Errorf("cert: %s: %w", s.files.Cert, err)
	}
	switch now := time.Now(); {
	case now.After(h.leaf.NotAfter):
		return fmt.Errorf("cert: %s: it ended on %s", s.files.Cert, h.leaf.NotAfter.UTC().Format(time.DateTime))
	case len(h.leaf.DNSNames) == 0:
		return fmt.Errorf("cert: %s: it holds no name", s.files.Cert)
	}
	s.now.Store(h)
	return nil
}

// Name is the first name that the certificate holds; links know a gateway by it.
func (s *Store) Name() string { return s.now.Load().leaf.DNSNames[0] }

// Until is when the certificate ends.
func (s *Store) Until() time.Time { return s.now.Load().leaf.NotAfter }

// Client is how a peer of the name is dialled. Its certificate must hold that name.
func (s *Store) Client(peer string) *tls.Config {
	h := s.now.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   peer,
		RootCAs:      h.pool,
		Certificates: []tls.Certificate{h.cert},
	}
}

// Server is how links are taken: from whoever has a certificate of the authorities. Which of
// the names may come is for the caller to say.
func (s *Store) Server() *tls.Config {
	h := s.now.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: h.pool,
		Certificates: []tls.Certificate{h.cert}, SessionTicketsDisabled: true}
}

// Make writes an authority and a certificate for each name into a folder: ca.pem and ca.key,
// NAME.pem and NAME.key. An authority that is there is used again; a certificate that is there
// is written anew. It is meant for trials: the authority's key lies beside the rest.
func Make(dir string, names []string, last time.Duration) error {
	if len(names) == 0 {
		return errors.New("keys: no names")
	}
	for _, n := range names {
		if n != filepath.Base(n) || n == "." || n == "ca" {
			return fmt.Errorf("keys: %q is no name", n)
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, caKey, err := authority(dir, last)
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
		if err := write(dir, n, template, ca, caKey, key, last); err != nil {
			return err
		}
	}
	return nil
}

// authority finds or makes the one in a folder.
func authority(dir string, last time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
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
		if err := write(dir, "ca", t, t, key, key, 10*last); err != nil {
			return nil, nil, err
		}
		return authority(dir, last)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("keys: the authority in %s: %w", dir, err)
	}
	ca, err := x509.ParseCertificate(pair.Certificate[0])
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if err != nil || !ok || !ca.IsCA {
		return nil, nil, fmt.Errorf("keys: %s holds no authority of this command's", dir)
	}
	return ca, key, nil
}

func write(dir, name string, t, parent *x509.Certificate, signer, key *ecdsa.PrivateKey, last time.Duration) error {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 100))
	if err != nil {
		return err
	}
	t.SerialNumber, t.NotBefore, t.NotAfter = serial, time.Now().Add(-time.Minute), time.Now().Add(last)
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
		// Whoever reads a file while it is replaced finds the old one or the new.
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

// Show tells line by line what certificates a file holds and when each ends, with a warning
// where that is soon.
func Show(path string) ([]string, error) {
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
		case left < Warn:
			line += fmt.Sprintf(": in %.0f days", left.Hours()/24)
		}
		lines = append(lines, line)
	}
	if lines == nil {
		return nil, fmt.Errorf("%s: no certificate in it", path)
	}
	return lines, nil
}
