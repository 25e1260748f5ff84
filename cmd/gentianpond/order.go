package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"gentianpond/internal/host/gateway"
)

const helpOrder = `Send one order to an entry host and print the answer.

Without --key a new idempotency key is made and printed, so that the same
order can be asked for again with --key when its answer is lost.`

func newOrderCommand() command {
	sub := newSubcommand("order", helpOrder)
	entry := "127.0.0.1:8080"
	var archive, body, key, deadline string
	sub.String(&entry, "e", "entry", "Address of an entry host, IP:port.")
	sub.String(&key, "k", "key", "Idempotency key: <creation time in Unix seconds>-<any text>.")
	sub.String(&deadline, "d", "deadline", "Deadline, for example 2s.")
	sub.AddPositionalValue(&archive, "archive", 1, true, "Archive that takes the order.")
	sub.AddPositionalValue(&body, "body", 2, true, "Order: JSON, or plain text.")
	return command{sub: sub, run: func(ctx context.Context) error {
		id := newRequestID()
		if key == "" {
			key = fmt.Sprintf("%d-%s", time.Now().Unix(), id)
			fmt.Println("key:", key)
		}
		r := gateway.OrderRequest{ID: id, Archive: archive, Deadline: deadline, Body: jsonOrText(body)}
		var a gateway.OrderAnswer
		if err := postJSON(ctx, entry, "/v1/order", http.Header{gateway.IdempotencyKeyHeader: {key}}, r, &a); err != nil {
			return err
		}
		return printAnswer(a, a.Outcome, a.Reason)
	}}
}
