package cmds

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
)

type keysCommand struct {
	Issue    issueKeyCommand    `command:"issue" description:"Create a key and print its secret, which is not shown again"`
	Withdraw withdrawKeyCommand `command:"withdraw" description:"Withdraw a key permanently"`
}

func init() {
	register("keys", "Issue or withdraw an API key",
		"Issues an API key for a customer of a team, or withdraws one.", &keysCommand{})
}

// Execute implements flags.Commander. It is never called, because a subcommand is required.
func (*keysCommand) Execute([]string) error { return nil }

type issueKeyCommand struct {
	Client   clientOptions `group:"Client options"`
	Scope    teamOptions   `group:"Team"`
	Customer string        `long:"customer" required:"yes" description:"Customer that requests with the key are attributed to"`
	Class    string        `long:"class" choice:"live" choice:"normal" choice:"night" description:"Default class of requests"`
	Args     struct {
		Key string `positional-arg-name:"key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute issues the key and prints its secret.
func (k *issueKeyCommand) Execute([]string) error {
	c, err := k.Client.newClient()
	if err != nil {
		return err
	}
	q := &opsapi.IssueKey{Attempt: newAttempt(), ID: k.Args.Key, Customer: k.Customer}
	if k.Class != "" {
		q.Class = opsapi.NewOptIssueKeyClass(opsapi.IssueKeyClass(k.Class))
	}
	r, err := sendChange(context.Background(), func(ctx context.Context) (opsapi.IssueKeyRes, error) {
		return c.IssueKey(ctx, q, opsapi.IssueKeyParams{Team: k.Scope.TeamID})
	})
	if err != nil {
		return fmt.Errorf("issue key: %w", err)
	}
	return k.Client.printChange(r)
}

type withdrawKeyCommand struct {
	Client clientOptions `group:"Client options"`
	Scope  teamOptions   `group:"Team"`
	Args   struct {
		Key string `positional-arg-name:"key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute withdraws the key.
func (k *withdrawKeyCommand) Execute([]string) error {
	c, err := k.Client.newClient()
	if err != nil {
		return err
	}
	q := &opsapi.WithdrawKey{Attempt: newAttempt()}
	r, err := sendChange(context.Background(), func(ctx context.Context) (opsapi.WithdrawKeyRes, error) {
		return c.WithdrawKey(ctx, q, opsapi.WithdrawKeyParams{Team: k.Scope.TeamID, Key: k.Args.Key})
	})
	if err != nil {
		return fmt.Errorf("withdraw key: %w", err)
	}
	return k.Client.printChange(r)
}
