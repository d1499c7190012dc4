package daemon

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
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/fakes"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	raw         []byte
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tm := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, tm, tm, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: cert, key: key, raw: raw, serial: 1}
}

// issue writes a new certificate, its key and the authority's certificate to a directory.
func (au *authority) issue(t *testing.T, dir string) config.TLS {
	t.Helper()
	au.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tm := &x509.Certificate{
		SerialNumber: big.NewInt(au.serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, tm, au.certificate, &key.PublicKey, au.key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	se := config.TLS{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"),
		PeerAuthority: filepath.Join(dir, "authority.pem"), ReloadInterval: 50 * time.Millisecond,
	}
	writePEM(t, se.Certificate, "CERTIFICATE", raw)
	writePEM(t, se.Key, "PRIVATE KEY", der)
	writePEM(t, se.PeerAuthority, "CERTIFICATE", au.raw)
	return se
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// openNetwork is a network with listeners that are open already, since the port of a closed one may be taken by another process.
type openNetwork struct {
	Network
	open map[string]net.Listener
}

func (on *openNetwork) Listen(address string) (net.Listener, error) {
	if li, ok := on.open[address]; ok {
		return li, nil
	}
	return on.Network.Listen(address)
}

// startInstance runs an instance with the given TLS settings on free ports until the test ends.
func startInstance(t *testing.T, platform string, se config.TLS) *Daemon {
	t.Helper()
	cf := config.Defaults()
	cf.TLS = se
	cf.Instance.DrainGrace = 0
	cf.Platform.LogAddress = platform
	nw := &openNetwork{Network: NewSystemNetwork(), open: map[string]net.Listener{}}
	for _, to := range []*string{&cf.Instance.CallerAddress, &cf.Instance.OperatorAddress, &cf.Instance.PeerAddress} {
		li := listenAny(t)
		*to = li.Addr().String()
		nw.open[*to] = li
	}
	da, err := New(Config{Settings: cf, Network: nw, Clock: NewSystemClock(), Logger: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- da.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	eventually(t, "the instance is ready", da.Ready)
	return da
}

func eventually(t *testing.T, what string, fn func() bool) {
	t.Helper()
	for range 400 {
		if fn() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func startPlatform(t *testing.T) string {
	t.Helper()
	li := listenAny(t)
	serveOn(t, li, fakes.NewPlatform(fakes.NewLog(), fakes.NewList()))
	return "http://" + li.Addr().String()
}

func TestPeersUseMutualTLS(t *testing.T) {
	platform := startPlatform(t)
	au := newAuthority(t)
	first := startInstance(t, platform, au.issue(t, t.TempDir()))
	second := startInstance(t, platform, au.issue(t, t.TempDir()))
	eventually(t, "the peers have exchanged heartbeats", func() bool {
		ls := second.links.Statuses()
		return len(ls) == 1 && ls[0].Up
	})
	stranger := startInstance(t, platform, newAuthority(t).issue(t, t.TempDir()))
	time.Sleep(2 * heartbeatWait)
	for _, ls := range stranger.links.Statuses() {
		if ls.Up {
			t.Errorf("%s accepted an instance whose certificate another authority signed", ls.Address)
		}
	}
	rq, _ := http.NewRequest(http.MethodPost, "https://"+first.config.Settings.Instance.PeerAddress+"/twirp/clementineweir.peer.Peer/State", http.NoBody)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if rs, err := client.Do(rq); err == nil {
		_ = rs.Body.Close()
		t.Errorf("a peer call without a client certificate got the response %s, want a failed handshake", rs.Status)
	}
}

// heartbeatWait is longer than the interval between heartbeats.
const heartbeatWait = 1200 * time.Millisecond

func TestCertificateIsReloaded(t *testing.T) {
	au := newAuthority(t)
	dir := t.TempDir()
	da := startInstance(t, startPlatform(t), au.issue(t, dir))
	before := servedSerial(t, da)
	au.issue(t, dir)
	eventually(t, "the new certificate is served", func() bool { return servedSerial(t, da) == before+1 })
	if err := os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if got := servedSerial(t, da); got != before+1 {
		t.Errorf("a damaged certificate file changed the certificate in use: it has the serial number %d", got)
	}
}

func servedSerial(t *testing.T, da *Daemon) int64 {
	t.Helper()
	co, err := tls.Dial("tcp", da.config.Settings.Instance.CallerAddress, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	return co.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
