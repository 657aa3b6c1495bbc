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
	// clientTimeout is longer than the time in which a gateway gives up a write.
	clientTimeout = 20 * time.Second
	// maxSendAttempts bounds how often a change is sent after its answer was lost.
	maxSendAttempts = 3
	sendRetryDelay  = 200 * time.Millisecond
)

// clientOptions are the options of commands that use the operator interface.
type clientOptions struct {
	Address        string `long:"address" env:"MAGNOLIALEVER_ADDRESS" description:"Operator interface of a gateway" default:"http://127.0.0.1:8081"`
	Credential     string `long:"credential" env:"MAGNOLIALEVER_CREDENTIAL" description:"Credential; the environment keeps it out of lists of processes"`
	CredentialFile string `long:"credential-file" env:"MAGNOLIALEVER_CREDENTIAL_FILE" description:"File with the credential"`
	Output         string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
}

// teamOptions add the team.
type teamOptions struct {
	TeamID string `long:"team" env:"MAGNOLIALEVER_TEAM" description:"Team" default:"fleet"`
}

type bearerToken string

func (c bearerToken) Operator(context.Context, opsapi.OperationName) (opsapi.Operator, error) {
	return opsapi.Operator{Token: string(c)}, nil
}

var errNoCredential = errors.New("no credential: set MAGNOLIALEVER_CREDENTIAL, --credential or --credential-file")

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

func newAttempt() opsapi.Attempt { return opsapi.Attempt(uuid.NewString()) }

// sendChange makes a change. When the answer is lost, it sends the change again with the
// same attempt id, which the gateway recognises.
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
		return r, &exitError{code: exitUnknown, err: fmt.Errorf("outcome unknown: %w", err)}
	}
	return r, responseError(err)
}

// isErrorResponse reports whether the gateway answered that nothing was written.
func isErrorResponse(err error) bool {
	var e *opsapi.ErrorStatusCode
	return errors.As(err, &e)
}

// isDialError reports whether the connection failed before the request left.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

// responseError replaces an error answer by its code and message.
func responseError(err error) error {
	var e *opsapi.ErrorStatusCode
	if errors.As(err, &e) {
		return fmt.Errorf("%s: %s", e.Response.Code, e.Response.Message)
	}
	return err
}
