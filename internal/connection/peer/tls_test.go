package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/tlsconfig"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// authority is a certificate authority for a test. It writes its files to dir.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.certificate, a.key = a.issue(t, "ca", true)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

// issue writes <name>.cert and <name>.key.
func (a *authority) issue(t *testing.T, name string, ca bool) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := a.certificate, a.key
	if ca {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, a.path(name+".cert"), "CERTIFICATE", der)
	writePEM(t, a.path(name+".key"), "EC PRIVATE KEY", keyDER)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return certificate, key
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func (a *authority) configs(t *testing.T, name string) (server, client *tls.Config) {
	t.Helper()
	a.issue(t, name, false)
	server, client, err := tlsconfig.LoadMutual(tlsconfig.Files{
		Cert: a.path(name + ".cert"), Key: a.path(name + ".key"), CA: a.path("ca.cert"),
	})
	require.NoError(t, err)
	return server, client
}

// TestTLSNames guards against a VM that is taken for another one because of the name
// in its hello, its address or a certificate of another authority.
func TestTLSNames(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	serverConfig, serverDial := trusted.configs(t, "b")
	_, clientA := trusted.configs(t, "a")
	_, clientX := trusted.configs(t, "x")
	_, clientForeign := foreign.configs(t, "a")
	// This client trusts the server's authority but presents a foreign certificate.
	mixed := clientA.Clone()
	mixed.Certificates = clientForeign.Certificates

	l, err := tls.Listen("tcp", "127.0.0.1:0", serverConfig)
	require.NoError(t, err)
	b := NewManager("b", serverDial, handler{call: func(_ context.Context, from string, _ Message) (Message, error) {
		return Message{LimitGrant, []byte(from)}, nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- b.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); b.Close(); require.NoError(t, <-served) })
	try := func(self, vm string, dial *tls.Config) (Message, error) {
		m := NewManager(self, dial, handler{})
		defer m.Close()
		return m.Call(testContext(t), vm, l.Addr().String(), Message{LimitAsk, nil})
	}

	reply, err := try("a", "b", clientA)
	require.NoError(t, err)
	require.Equal(t, "a", string(reply.Payload))
	for name, c := range map[string]struct {
		self, vm string
		dial     *tls.Config
	}{
		"hello differs from certificate": {"a", "b", clientX},
		"another VM at the address":      {"a", "c", clientA},
		"server of another authority":    {"a", "b", clientForeign},
		"client of another authority":    {"a", "b", mixed},
		"plaintext client":               {"a", "b", nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := try(c.self, c.vm, c.dial)
			requireRunState(t, err, refusal.NotRun)
		})
	}
}

// TestPlaintextListenerWithTLS guards against a manager that has a plaintext listener
// by mistake and then trusts the names in hello frames.
func TestPlaintextListenerWithTLS(t *testing.T) {
	_, dial := newAuthority(t).configs(t, "b")
	b := NewManager("b", dial, handler{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- b.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); b.Close(); require.NoError(t, <-served) })
	a := NewManager("a", nil, handler{})
	defer a.Close()
	_, err = a.Call(testContext(t), "b", l.Addr().String(), Message{LimitAsk, nil})
	requireRunState(t, err, refusal.NotRun)
}
