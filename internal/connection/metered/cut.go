package metered

import (
	"errors"
	"io"
	"net"
	"os"

	"hornbeamvale.example/hornbeamvale/internal/process/intake"
)

// Log writes lines about requests. decisionlog.Log implements it.
type Log interface {
	Request(message string, keysAndValues ...any)
}

// reportCut counts and logs that this VM ends the connection although it has received a
// request or a part of one that it does not answer to the end. A connection that the caller
// has closed or reset is not reported, and each connection is reported once.
func (c *Conn) reportCut(why intake.Reason, phase intake.Phase) {
	if c.left.Load() || c.cut.Swap(true) {
		return
	}
	c.intake.CountCut(why, phase)
	if c.log != nil {
		c.log.Request("Ended the connection of a caller before its answer", "reason", why, "phase", phase, "address", c.address)
	}
}

// noteLeft notes whether an error says that the caller has closed or reset the connection.
func (c *Conn) noteLeft(err error) {
	if errors.Is(err, io.EOF) || !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.left.Store(true)
	}
}

// Aborted notes that the answer to a request ends early, so that the connection is closed.
func (c *Conn) Aborted() {
	if c != nil {
		c.reportCut(intake.AnswerAborted, intake.Running)
	}
}
