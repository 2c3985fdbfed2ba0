package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	// maxInRow is the largest number of lookups that a caller sends before the first is
	// answered.
	maxInRow = 5
	// rowCallers is the number of callers that send lookups in a row.
	rowCallers = 3
	// leaveOneIn is the share of rows whose caller closes the connection midway.
	leaveOneIn = 6
)

// rowCaller sends several lookups on one connection before the first is answered, and checks
// that the responses come in their order.
type rowCaller struct {
	*caller
}

func (s *soak) newRowCaller(i int) rowCaller {
	return rowCaller{newCaller("row"+strconv.Itoa(i), s.options.Seed+uint64(rowStream+i), s.fleet, s.checker, s.newestVersion)}
}

// rowStream separates the random numbers of these callers from those of others.
const rowStream = 5000

// run sends one row after the other until the context ends.
func (c rowCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if time.Now().After(c.directoryExpiry) || len(c.vms) == 0 {
			c.queryDirectory(ctx)
		}
		if len(c.vms) > 0 {
			vm := c.vms[c.random.IntN(len(c.vms))]
			c.sendRow(ctx, vm, c.fleet.vms[vm].callersLink.address(), 0)
		}
		time.Sleep(callerPause)
	}
}

// sendRow sends a row of lookups to a daemon at an address on a connection of its own. Targets work
// on each lookup for the given time, if that is longer than usual.
func (c rowCaller) sendRow(ctx context.Context, vm int, address string, work time.Duration) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the link is disturbed; nothing was sent
	}
	defer func() { _ = conn.Close() }()
	row := make([]callerRequest, 1+c.random.IntN(maxInRow))
	var stream bytes.Buffer
	for i := range row {
		row[i] = c.lookup(vm, i)
		if err := c.request(row[i], work).Write(&stream); err != nil {
			return // cannot happen: the buffer takes everything
		}
	}
	_ = conn.SetDeadline(time.Now().Add(time.Duration(len(row)) * callerTimeout)) // fails only on a closed connection; then the write does
	if err := writeInParts(conn, stream.Bytes(), c.random); err != nil {
		return // it is not known which of them arrived whole
	}
	if c.random.IntN(leaveOneIn) == 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(200 * time.Millisecond))))
		return
	}
	c.readRow(ctx, conn, row, time.Now())
}

// lookup returns the record of the next lookup, which waits behind others: its own time begins
// when it is read.
func (c rowCaller) lookup(vm, behind int) callerRequest {
	c.sent++
	return callerRequest{
		id: c.name + "-" + strconv.Itoa(c.sent), vm: vm, version: c.newestVersion(), startedAt: time.Now(),
		timeout: time.Duration(behind+1) * routeTimeout, limit: routeTimeout,
	}
}

// request returns the request of a lookup.
func (c rowCaller) request(record callerRequest, work time.Duration) *http.Request {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/look%d/x?%s=%d", host, record.version, workQuery, work.Milliseconds()), nil)
	if err != nil {
		panic(err) // the soak itself chose the URL
	}
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: record.id, Remaining: callerTimeout})
	return request
}

// writeInParts writes the content in two parts, split anywhere.
func writeInParts(conn net.Conn, content []byte, random *rand.Rand) error {
	split := random.IntN(len(content))
	if _, err := conn.Write(content[:split]); err != nil {
		return fmt.Errorf("write the first part of a row: %w", err)
	}
	time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
	if _, err := conn.Write(content[split:]); err != nil {
		return fmt.Errorf("write the second part of a row: %w", err)
	}
	return nil
}

// readRow reads the responses and records the row, and its lookups up to the first without a
// response: those behind it were not begun.
func (c rowCaller) readRow(ctx context.Context, conn net.Conn, row []callerRequest, sentAt time.Time) {
	reader := bufio.NewReader(conn)
	whole := rowRecord{vm: row[0].vm, sentAt: sentAt}
	for _, record := range row {
		whole.requests = append(whole.requests, record.id)
	}
	defer func() { c.checker.recordRow(whole) }()
	for _, record := range row {
		record.status, record.wrongResponse = readInRow(reader, record.id)
		record.endedAt = time.Now()
		if ctx.Err() != nil {
			return // the load has ended
		}
		c.checker.recordRequest(record)
		whole.endedAt = record.endedAt
		if record.status == 0 {
			return
		}
		whole.answered++
	}
}

// readInRow reads the next response, which must be that to the named request. The status is
// zero if there is no complete response.
func readInRow(reader *bufio.Reader, id string) (status int, wrongResponse bool) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false // visibly truncated
	}
	return response.StatusCode, response.StatusCode == statusServed && (string(body) != expectedBody(id, nil) || response.Header.Get(placeHeader) != placeValue)
}
