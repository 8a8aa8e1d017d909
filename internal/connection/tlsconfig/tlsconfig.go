// Package tlsconfig builds TLS configurations from the files that the settings name: for
// mutual TLS between VMs, for the ports of callers and operators, and for clients. The
// name of a VM is the subject common name of its certificate. Whoever dials a VM compares
// the name; this package verifies only the chain of certificates.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// Files holds the paths of PEM files.
type Files struct {
	Cert string // certificate of this VM and its intermediates
	Key  string // private key of Cert
	CA   string // authorities of the other side's certificates
}

// Error is the error of a file that cannot be used.
type Error struct {
	File string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("TLS file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errNoCertificates    = errors.New("no certificates in PEM format")
	errNoCommonName      = errors.New("the certificate has no subject common name")
	errNoPeerCertificate = errors.New("the peer sent no certificate")
)

// LoadMutual returns the configurations for mutual TLS between VMs, for the accepting
// and for the dialling side.
func LoadMutual(f Files) (server, client *tls.Config, err error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, &Error{File: f.Cert, Err: err}
	}
	if pair.Leaf.Subject.CommonName == "" {
		return nil, nil, &Error{File: f.Cert, Err: errNoCommonName}
	}
	pool, err := loadPool(f.CA)
	if err != nil {
		return nil, nil, err
	}
	return serverConfig(pair, pool), clientConfig(pair, pool), nil
}

func serverConfig(pair tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
}

// clientConfig replaces the standard verification, which compares host names, because VMs
// are dialled by IP address and identified by the common name. VerifyConnection verifies
// the chain; the caller must compare the common name with the VM that it dials.
func clientConfig(pair tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		RootCAs:            pool,
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, pool) },
	}
}

// verifyChain verifies the peer's certificate for server authentication against pool.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
