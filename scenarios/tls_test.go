package scenarios

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/operator"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
)

// goTestTimeout bounds each wait of the tests that are not scripts.
const goTestTimeout = 60 * time.Second

// authority is a certificate authority whose certificates are files in dir.
type authority struct {
	t    *testing.T
	dir  string
	name string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, dir, name string) *authority {
	a := &authority{t: t, dir: dir, name: name}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert, a.key = a.issue(name, template, nil)
	return a
}

// issue signs a certificate and writes it with its key to NAME.pem and NAME-key.pem. A
// certificate without a parent is self-signed.
func (a *authority) issue(name string, template *x509.Certificate, parent *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.cert, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+"-key.pem", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return cert, key
}

// write writes a PEM file.
func (a *authority) write(file, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(filepath.Join(a.dir, file), text, 0o600))
}

// leaf issues a certificate for a server and client on loopback with a common name.
func (a *authority) leaf(file, commonName string) {
	a.issue(file, &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: commonName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a)
}

// TestFleetWithTLS guards against ports that accept unauthenticated clients. In a fleet
// with TLS on every port, each VM must serve programs, the peer port must refuse a
// client without a certificate or with one of another authority, and the operators' port
// must refuse a request without a key.
func TestFleetWithTLS(t *testing.T) {
	dir := t.TempDir()
	ca, other := newAuthority(t, dir, "ca"), newAuthority(t, dir, "other")
	other.leaf("stranger", "entry-02")
	platform := startStandIn(t, "platform")
	engine := startStandIn(t, "engine", "--answer-tokens", "4")
	vms := make([]*process.VM, 2)
	for i := range vms {
		vms[i] = startTLSVM(t, ca, dir, fmt.Sprintf("entry-%02d", i+1), platform.Address)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool(ca)}}}
	for _, v := range vms {
		awaitStatus(t, client, "https://"+v.Operator+"/readyz", http.StatusOK)
	}
	submitDocument(t, dir, "https://"+vms[0].Operator, filepath.Join(dir, "ca.pem"), &operator.Document{
		Fleet: operator.Fleet{Seats: 2},
		Customers: []operator.Customer{{
			Name: "alice", Keys: []operator.Key{operator.NewKey("k", "alice-key")}, Rate: 100, Burst: 100,
			Endpoints: []string{"*"}, Programs: []string{"*"},
		}},
		Programs:  []operator.Program{{Name: "booking"}},
		Endpoints: []operator.Endpoint{{Name: "cacao-agents", Kind: operator.KindModel, Replicas: []string{engine.Address}}},
	})

	// Sixteen programs on two VMs, so that each VM forwards some of them to the other.
	for i := range 16 {
		v := vms[i%2]
		answer := awaitChat(t, client, v, fmt.Sprintf("booking:%d", i))
		require.Contains(t, answer, "[DONE]")
	}

	member, err := tls.LoadX509KeyPair(filepath.Join(dir, "entry-02.pem"), filepath.Join(dir, "entry-02-key.pem"))
	require.NoError(t, err)
	require.ErrorIs(t, dialPeer(vms[0], &tls.Config{RootCAs: pool(ca), Certificates: []tls.Certificate{member}}), io.EOF, "a member's connection is accepted, then closed since it sends no hello")
	require.ErrorContains(t, dialPeer(vms[0], &tls.Config{RootCAs: pool(ca)}), "remote error: tls")
	stranger, err := tls.LoadX509KeyPair(filepath.Join(dir, "stranger.pem"), filepath.Join(dir, "stranger-key.pem"))
	require.NoError(t, err)
	require.ErrorContains(t, dialPeer(vms[0], &tls.Config{RootCAs: pool(ca), Certificates: []tls.Certificate{stranger}}), "remote error: tls")
	response, err := client.Get("https://" + vms[0].Operator + "/v1/config")
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
}

func startStandIn(t *testing.T, args ...string) *process.StandIn {
	s, err := process.StartStandIn(binaries, io.Discard, args...)
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	return s
}

// startTLSVM starts a VM with TLS on its three ports.
func startTLSVM(t *testing.T, ca *authority, dir, id, platform string) *process.VM {
	v, err := process.NewVM(binaries, dir, id)
	require.NoError(t, err)
	ca.leaf(id, id)
	s := v.PlaintextSettings("annotto-bay", platform, v.Peer, operatorKey)
	for _, section := range []string{"caller", "peer", "operator"} {
		delete(s[section], "plaintext")
		s.Set(section, "tls_cert", id+".pem")
		s.Set(section, "tls_key", id+"-key.pem")
	}
	s.Set("peer", "tls_ca", "ca.pem")
	require.NoError(t, v.Configure(s))
	require.NoError(t, v.Start())
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(v.Logs())
		}
		v.Kill()
	})
	return v
}

func pool(a *authority) *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// submitDocument submits the first configuration. With an empty ca it uses plain HTTP.
func submitDocument(t *testing.T, dir, server, ca string, doc *operator.Document) {
	var text strings.Builder
	require.NoError(t, doc.Print(&text))
	key := filepath.Join(dir, "operator.key")
	require.NoError(t, os.WriteFile(key, []byte(operatorKey), 0o600))
	args := []string{"--server", server, "--key-file", key}
	if ca != "" {
		args = append(args, "--tls-ca", ca)
	}
	cmd := exec.Command(filepath.Join(binaries, "hornbeamvalectl"), append(args, "submit", "-", "--base", "0")...)
	cmd.Stdin = strings.NewReader(text.String())
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
}

// awaitStatus waits until a GET request gets a response with the given status.
func awaitStatus(t *testing.T, client *http.Client, url string, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), goTestTimeout)
	defer cancel()
	require.NoError(t, process.WaitUntil(ctx, func() bool {
		response, err := client.Get(url)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == status
	}), url)
}

// awaitChat repeats a turn until it succeeds. The VM refuses it until it has the
// configuration and its share of the customer's rate.
func awaitChat(t *testing.T, client *http.Client, v *process.VM, run string) string {
	ctx, cancel := context.WithTimeout(context.Background(), goTestTimeout)
	defer cancel()
	var answer string
	require.NoError(t, process.WaitUntil(ctx, func() bool {
		body := strings.NewReader(`{"model":"cacao-agents","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+v.Caller+"/v1/chat/completions", body)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer alice-key")
		request.Header.Set("Hornbeamvale-Program", run)
		request.Header.Set("Hornbeamvale-Turn", "1")
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		answer = string(text)
		return err == nil && response.StatusCode == http.StatusOK
	}), answer)
	return answer
}

// dialPeer connects to a peer port and reads one byte, since with TLS 1.3 a client learns
// only when it reads that its certificate was refused.
func dialPeer(v *process.VM, c *tls.Config) error {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: goTestTimeout}, "tcp", v.Peer, c)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(goTestTimeout))
	_, err = conn.Read(make([]byte, 1))
	return err
}
