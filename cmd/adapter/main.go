// Command adapter runs servers' decisions for the simulator, and speaks the simulator's protocol on standard input and
// output: it turns events into rounds, and decisions into actions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

// bufferBytes is the size of each buffer of standard input and output.
const bufferBytes = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers each batch with one reply until the input ends.
func serve(input io.Reader, output io.Writer) error {
	in, out := bufio.NewReaderSize(input, bufferBytes), bufio.NewWriterSize(output, bufferBytes)
	h := newHost()
	for n := 0; ; n++ {
		err := h.batch.Read(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err := h.handleBatch(); err != nil {
			return fmt.Errorf("batch %d, %w", n, err)
		}
		if err := h.reply.Flush(out); err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
	}
}
