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

// Environment variables that stand in for flags.
const (
	serverVariable = "AZUREDYKE_SERVER"
	tokenVariable  = "AZUREDYKE_TOKEN"
)

const (
	// defaultServer is the operator address in the default settings of a node.
	defaultServer = "http://127.0.0.1:8081"
	// defaultTimeout bounds one call; it is longer than the time in which a node resolves an unknown outcome.
	defaultTimeout = 20 * time.Second
	// dialTimeout bounds making a connection, in TCP and in TLS each.
	dialTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer; a listing of 10,000 objects is a few megabytes.
	maxAnswerBytes = 64 << 20
)

// connection holds the flags that say how to reach the operator API.
type connection struct {
	server, token, tokenFile string
	ca, cert, key            string
	timeout                  time.Duration
}

func (c *connection) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&c.server, "server", "", "URL of a node's operator API, else $"+serverVariable+", else "+defaultServer)
	flags.StringVar(&c.token, "token", "",
		"operator token, else --token-file, else $"+tokenVariable+"; other users of the host can see it in the process list")
	flags.StringVar(&c.tokenFile, "token-file", "", "file that holds the operator token")
	flags.StringVar(&c.ca, "ca", "", "PEM file of the authorities that verify the server")
	flags.StringVar(&c.cert, "cert", "", "PEM file of the client certificate")
	flags.StringVar(&c.key, "key", "", "PEM file of the client key")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time for one call")
	root.MarkFlagsRequiredTogether("cert", "key")
	root.MarkFlagsMutuallyExclusive("token", "token-file")
}

// client returns a client of the operator API and closes its idle connections when done is called.
func (c *connection) client() (client operatorv1connect.OperatorServiceClient, done func(), err error) {
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
		Transport: bearer{token: token, next: transport},
		// A redirect would send the token elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	client = operatorv1connect.NewOperatorServiceClient(httpClient, c.url(), connect.WithReadMaxBytes(maxAnswerBytes))
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
			return nil, errs.New("CA file %s holds no certificate", c.ca)
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
