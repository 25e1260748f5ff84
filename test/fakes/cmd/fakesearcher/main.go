// Command fakesearcher runs one fake backend server until SIGTERM or SIGINT. Its
// only argument is a JSON object with the settings. It prints the address that it
// listens on.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"gentianpond/test/fakes/searcher"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fakesearcher:", err)
		os.Exit(1)
	}
}

func run() error {
	var s searcher.Settings
	if err := json.Unmarshal([]byte(os.Args[1]), &s); err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f, err := searcher.Start(ctx, s)
	if err != nil {
		return err
	}
	fmt.Println(f.Addr())
	<-ctx.Done()
	f.Stop()
	return nil
}
