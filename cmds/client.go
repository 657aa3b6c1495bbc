package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/magnolialever/magnolialever/opsapi"
)

const (
	// clientTimeout limits one call. It is longer than the write timeout of a gateway (8 s), so that
	// the gateway reports the outcome.
	clientTimeout = 20 * time.Second
	// maxSendAttempts limits how often a change is sent while its response is lost.
	maxSendAttempts = 3
	// sendRetryDelay times the number of failed attempts is the delay before the next one.
	sendRetryDelay = 200 * time.Millisecond
)

// clientOptions are the flags of commands that call the operator interface of a gateway.
type clientOptions struct {
	Address        string `long:"address" env:"MAGNOLIALEVER_ADDRESS" description:"URL of a gateway's operator interface" default:"http://127.0.0.1:8081"`
	Credential     string `long:"credential" env:"MAGNOLIALEVER_CREDENTIAL" description:"Operator credential; set it in the environment to keep it out of process listings"`
	CredentialFile string `long:"credential-file" env:"MAGNOLIALEVER_CREDENTIAL_FILE" description:"File that holds the operator credential"`
	Output         string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Output format"`
}

// teamOptions is the flag that selects the team.
type teamOptions struct {
	TeamID string `long:"team" env:"MAGNOLIALEVER_TEAM" description:"Team whose configuration is used" default:"fleet"`
}

// bearerToken is an operator credential that authenticates each call.
type bearerToken string

// Operator implements opsapi.SecuritySource.
func (c bearerToken) Operator(context.Context, opsapi.OperationName) (opsapi.Operator, error) {
	return opsapi.Operator{Token: string(c)}, nil
}

var errNoCredential = errors.New("no operator credential: set MAGNOLIALEVER_CREDENTIAL, --credential or --credential-file")

// newClient returns a client of the gateway. It fails with a usage error if the credential is
// missing or unreadable, or if the address is not a URL.
func (o *clientOptions) newClient() (*opsapi.Client, error) {
	secret := o.Credential
	if secret == "" && o.CredentialFile != "" {
		data, err := os.ReadFile(o.CredentialFile)
		if err != nil {
			return nil, usageError(fmt.Errorf("read credential: %w", err))
		}
		secret = strings.TrimSpace(string(data))
	}
	if secret == "" {
		return nil, usageError(errNoCredential)
	}
	c, err := opsapi.NewClient(o.Address, bearerToken(secret), opsapi.WithClient(&http.Client{Timeout: clientTimeout}))
	if err != nil {
		return nil, usageError(fmt.Errorf("address %q: %w", o.Address, err))
	}
	return c, nil
}

// newAttempt returns a random id that makes retries of one change idempotent.
func newAttempt() opsapi.Attempt { return opsapi.Attempt(uuid.NewString()) }

// sendChange sends a change and retries it while the response is lost. The request carries the
// same attempt id each time, so that the gateway applies it at most once. If the last attempt
// fails and a gateway may have received the change, the exit code is exitUnknown.
func sendChange[R any](ctx context.Context, call func(ctx context.Context) (R, error)) (R, error) {
	var r R
	var err error
	sent := false
	for i := range maxSendAttempts {
		time.Sleep(time.Duration(i) * sendRetryDelay)
		r, err = call(ctx)
		if err == nil || isErrorResponse(err) {
			break
		}
		sent = sent || !isDialError(err)
	}
	if err != nil && sent {
		return r, &exitError{code: exitUnknown, err: fmt.Errorf("outcome of the change is unknown: %w", err)}
	}
	return r, responseError(err)
}

// isErrorResponse reports whether the gateway responded with an error, in which case it has not
// written the change.
func isErrorResponse(err error) bool {
	var e *opsapi.ErrorStatusCode
	return errors.As(err, &e)
}

// isDialError reports whether no connection was established, so that no request was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

// responseError replaces the error of an error response with its code and message. It returns
// other errors unchanged.
func responseError(err error) error {
	var e *opsapi.ErrorStatusCode
	if errors.As(err, &e) {
		return fmt.Errorf("%s: %s", e.Response.Code, e.Response.Message)
	}
	return err
}
