package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// LoadServer returns the server configuration of a port for callers or operators. With a
// CA file, clients may authenticate by a certificate; without one, they are not asked for
// a certificate.
func LoadServer(f Files) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &Error{File: f.Cert, Err: err}
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2", "http/1.1"}}
	if f.CA == "" {
		return c, nil
	}
	c.ClientAuth = tls.VerifyClientCertIfGiven
	c.ClientCAs, err = loadPool(f.CA)
	return c, err
}

// LoadClient returns the configuration of a client that trusts the authorities in the
// file ca, or those of the operating system if ca is empty.
func LoadClient(ca string) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca == "" {
		return c, nil
	}
	pool, err := loadPool(ca)
	c.RootCAs = pool
	return c, err
}

// loadPool reads the certificates of a PEM file.
func loadPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &Error{File: file, Err: errNoCertificates}
	}
	return pool, nil
}
