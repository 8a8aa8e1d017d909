package operatorhttp

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClientCertificate guards against a server that accepts a request with a
// certificate that is not verified, or with none.
func TestClientCertificate(t *testing.T) {
	certificate, authority := selfSigned(t)
	s := httptest.NewUnstartedServer(NewHandler(ServerOptions{
		Backend: &fakeBackend{}, Metrics: http.NotFoundHandler(), Ready: func() error { return nil },
	}))
	s.TLS = &tls.Config{ClientAuth: tls.VerifyClientCertIfGiven, ClientCAs: authority}
	s.StartTLS()
	defer s.Close()
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	connect := func(certificates ...tls.Certificate) error {
		c := NewClient(ClientOptions{Servers: []string{s.URL}, TLS: &tls.Config{RootCAs: roots, Certificates: certificates}})
		defer c.Close()
		_, err := c.Status(t.Context())
		return err
	}
	require.NoError(t, connect(certificate))
	requireCode(t, connect(), Unauthenticated)
	other, _ := selfSigned(t)
	require.Error(t, connect(other))
}

// selfSigned returns a self-signed client certificate and a pool that contains it.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "operator"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}
