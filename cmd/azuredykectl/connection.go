package main

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// Environment variables that are used when the corresponding flags are not set.
const (
	serverVariable = "AZUREDYKE_SERVER"
	tokenVariable  = "AZUREDYKE_TOKEN"
)

const (
	// defaultServer is the URL of the operator API with the default settings of a node.
	defaultServer = "http://127.0.0.1:8081"
	// defaultTimeout bounds one call. It is longer than a node takes to resolve a write whose outcome is unknown.
	defaultTimeout = 20 * time.Second
	// dialTimeout bounds the TCP connect and the TLS handshake, each separately.
	dialTimeout = 5 * time.Second
	// maxResponseBytes bounds the size of a response; a list of 10,000 objects is a few megabytes.
	maxResponseBytes = 64 << 20
)

// connection holds the flags for the connection to the operator API.
type connection struct {
	server, token, tokenFile string
	ca, cert, key            string
	timeout                  time.Duration
}

func (c *connection) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&c.server, "server", "", "URL of the operator API of a node, else $"+serverVariable+", else "+defaultServer)
	flags.StringVar(&c.token, "token", "",
		"operator token, else --token-file, else $"+tokenVariable+"; visible to other users of the host in the process list")
	flags.StringVar(&c.tokenFile, "token-file", "", "file that contains the operator token")
	flags.StringVar(&c.ca, "ca", "", "PEM file with the certificate authorities for the server certificate")
	flags.StringVar(&c.cert, "cert", "", "PEM file with the client certificate")
	flags.StringVar(&c.key, "key", "", "PEM file with the client key")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of one call")
	root.MarkFlagsRequiredTogether("cert", "key")
	root.MarkFlagsMutuallyExclusive("token", "token-file")
}

// client returns a client of the operator API and a function that closes the idle connections of the client.
func (c *connection) client() (client operatorv1connect.OperatorServiceClient, closeIdle func(), err error) {
	token, err := c.readToken()
	if err != nil {
		return nil, nil, err
	}
	tlsConfig, err := c.tlsConfig()
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{
		TLSClientConfig: tlsConfig, TLSHandshakeTimeout: dialTimeout, ForceAttemptHTTP2: true,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	httpClient := &http.Client{
		Transport: bearerTransport{token: token, next: transport},
		// Redirects are not followed, because they could send the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	client = operatorv1connect.NewOperatorServiceClient(httpClient, c.url(), connect.WithReadMaxBytes(maxResponseBytes))
	return client, transport.CloseIdleConnections, nil
}

// url returns the base URL of the server.
func (c *connection) url() string {
	server := c.server
	if server == "" {
		server = os.Getenv(serverVariable)
	}
	if server == "" {
		server = defaultServer
	}
	if !strings.Contains(server, "://") {
		scheme := "http://"
		if c.ca != "" || c.cert != "" {
			scheme = "https://"
		}
		server = scheme + server
	}
	return strings.TrimSuffix(server, "/")
}

func (c *connection) readToken() (string, error) {
	switch {
	case c.token != "":
		return c.token, nil
	case c.tokenFile != "":
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return "", errs.New("token file: %w", err)
		}
		return strings.TrimSpace(string(data)), nil
	default:
		return os.Getenv(tokenVariable), nil
	}
}

func (c *connection) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.ca != "" {
		pem, err := os.ReadFile(c.ca)
		if err != nil {
			return nil, errs.New("CA file: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errs.New("CA file %s contains no valid PEM certificate", c.ca)
		}
	}
	if c.cert != "" {
		pair, err := tls.LoadX509KeyPair(c.cert, c.key)
		if err != nil {
			return nil, errs.New("client certificate: %w", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
