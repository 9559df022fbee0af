package proxy

import (
	"strings"
	"testing"
)

// The tests of exchanges, as patterns.
const (
	answerEnds  = "^TestAnswerEndsAtEveryByte$"
	requestEnds = "^TestRequestEndsAtItsBytes$"
	beforeBody  = "^TestAnswerBeforeTheBody$"
	odd         = "^TestOddAnswers$"
)

const (
	fileRequestWrite = "requestwrite.go"
	fileRequestBody  = "requestbody.go"
	fileResponses    = "responses.go"
	fileStreaming    = "streaming.go"
	fileDecode       = "decode.go"
	fileProxy        = "reverseproxy.go"
	fileLend         = "../../protocol/transport/lend.go"
	fileBackend      = "../externalapi/backend.go"
	fileFrame        = "../distribution/frame.go"
	fileWatcher      = "../distribution/watcher.go"
	fileClient       = "../operatorclient/exchange.go"
)

// exchangeFaults are faults by which an answer goes to the wrong caller, or what may run once is sent twice.
var exchangeFaults = []leak{
	{
		name: "a request cut off on its way out counts as not sent",
		by:   requestEnds,
		changes: map[string][]string{
			fileRequestWrite: {
				"return rw.wait() > 0, rw.err",
				"return rw.wait() == rw.length, rw.err",
			},
		},
	},
	{
		name: "a long request cut off on its way out counts as not sent",
		by:   requestEnds,
		changes: map[string][]string{
			fileExchange: {
				"return e.write.wait() > 0, errors",
				"return e.write.complete(), errors",
			},
		},
	},
	{
		name: "the next request goes where the rest of one is due",
		by:   beforeBody,
		changes: map[string][]string{
			fileExchange: {
				"e.resp.Request.Method != http.MethodHead && e.write.complete()",
				"e.resp.Request.Method != http.MethodHead",
			},
		},
	},
	{
		name: "ids are not compared",
		by:   odd,
		changes: map[string][]string{
			fileExchange: {
				"if ids[0] != id {",
				"if ids[0] == \"\" {",
			},
		},
	},
	{
		name: "one of several ids is enough",
		by:   odd,
		changes: map[string][]string{
			fileExchange: {
				"if one != ids[0] {",
				"if one == \"\" {",
			},
		},
	},
	{
		name: "a failure without an id is believed on a used connection",
		by:   odd,
		changes: map[string][]string{
			fileExchange: {
				"if fresh && resp.StatusCode",
				"if fresh = true; fresh && resp.StatusCode",
			},
		},
	},
	{
		name: "a surplus answer longer than what is read past",
		by:   odd,
		changes: map[string][]string{
			fileExchange: {
				"io.LimitReader(resp.Body, maxSurplusBody+1)",
				"io.LimitReader(resp.Body, maxSurplusBody)",
			},
		},
	},
	{
		name: "a success may say that it has not run",
		by:   odd,
		changes: map[string][]string{
			fileResponses: {
				"resp.StatusCode >= http.StatusBadRequest && resp.Header",
				"resp.Header",
			},
		},
	},
	{
		name: "a backend's word is passed on as a promise",
		by:   odd,
		changes: map[string][]string{
			fileResponses: {
				"if cr.mayHaveRun && impliesNotRun(resp.StatusCode) {",
				"if cr.mayHaveRun && resp.StatusCode == 0 {",
			},
		},
	},
	{
		name: "a stream that is reset counts as whole",
		by:   answerEnds,
		changes: map[string][]string{
			fileStreaming: {
				"\t\tif err == io.EOF {\n\t\t\tr.sendHeader",
				"\t\tif err != nil && !isTimeout(err) {\n\t\t\tr.sendHeader",
			},
		},
	},
	{
		name: "an answer that is reset counts as whole",
		by:   answerEnds,
		changes: map[string][]string{
			fileExchange: {
				"err := io.ReadAll(io.LimitReader(e.resp.Body, limit+1))",
				"err := io.ReadAll(io.LimitReader(e.resp.Body, limit+1))\n\tif len(b) > 0 && !isTimeout(err) {\n\t\terr = nil\n\t}",
			},
		},
	},
	{
		name: "a handle is sent to a second taker",
		by:   answerEnds,
		changes: map[string][]string{
			fileGenerate: {
				"\tg.discardHandle()\n\tg.split = g.prefills < maxPrefills && cr.retryPossible()",
				"\tg.prefills++\n\tg.split = g.prefills < maxPrefills && cr.retryPossible()",
			},
		},
	},
	{
		name: "a client that has left gets an empty success",
		by:   "^TestClientLeaves$",
		changes: map[string][]string{
			fileRetries: {
				"\t\tcr.abortClient()\n",
				"\t\treturn\n",
			},
		},
	},
	{
		name: "a backend is given the time that the client had at first",
		by:   answerEnds,
		changes: map[string][]string{
			fileOutbound: {
				"max(time.Until(o.deadline).Milliseconds(), 1)",
				"max(1990+0*o.deadline.Unix(), 1)",
			},
		},
	},
	{
		name: "a client that stops within its body is waited for",
		by:   "^TestClientStopsWithinItsBody$",
		changes: map[string][]string{
			fileRequestBody: {
				"_ = conn.SetReadDeadline(deadline) //",
				"_ = conn.SetReadDeadline(deadline.Add(2 * time.Second)) //",
			},
		},
	},
	{
		name: "a client that reads nothing is waited for",
		by:   "^TestClientReadsNothing$",
		changes: map[string][]string{
			fileProxy: {
				"SetWriteDeadline(cr.deadline.Add(unreadBodyTimeout))",
				"SetWriteDeadline(cr.deadline.Add(3 * unreadBodyTimeout))",
			},
		},
	},
	{
		name: "a stream is taken up for a client that has left",
		by:   "^TestUnreadStreamIsNotResumed$",
		changes: map[string][]string{
			fileDecode: {
				"ctx.Err() == nil && !errors.Is(err, errClientGone) && cr.route",
				"ctx.Err() == nil && cr.route",
			},
		},
	},
	{
		name: "an id goes twice over one connection",
		by:   "^TestReusedID$",
		changes: map[string][]string{
			fileLend: {
				"if c.carried == requestID {",
				"if c.carried == requestID+requestID {",
			},
		},
	},
	{
		name: "orders share the connections of reports",
		by:   "^TestOrderTakesNoOtherCallsResponse$|^TestOrderIsSentOnce$",
		changes: map[string][]string{
			fileBackend: {
				"b.orders.Do(req)",
				"b.reports.Do(req)",
			},
		},
	},
	{
		name: "orders are sent on",
		by:   "^TestRedirectsAreNotFollowed$",
		changes: map[string][]string{
			fileBackend: {
				"\treq.GetBody = nil // prevents a retry by net/http\n",
				"",
				"return http.ErrUseLastResponse",
				"return nil",
			},
		},
	},
	{
		name: "an order that was given up may still arrive",
		by:   "^TestTimedOutOrderIsReset$",
		changes: map[string][]string{
			fileBackend: {
				"tcp.SetLinger(0)",
				"tcp.SetLinger(-1)",
			},
		},
	},
	{
		name: "an order is for whoever has the address",
		by:   "^TestOrderReturnsTheStatus$",
		changes: map[string][]string{
			fileBackend: {
				"req.Header.Set(HeaderTargetBackend, o.BackendID)",
				"_ = o.BackendID",
			},
		},
	},
	{
		name: "an order that is cut off has been answered",
		by:   "^TestOrderIsSentOnce$",
		changes: map[string][]string{
			fileBackend: {
				"io.LimitReader(resp.Body, maxReportBytes)); err != nil {",
				"io.LimitReader(resp.Body, maxReportBytes)); err == nil && false {",
			},
		},
	},
	{
		name: "a frame that is cut off is taken",
		by:   "^TestTruncatedResponses$",
		changes: map[string][]string{
			fileFrame: {
				"io.ReadFull(r, b[at:]); err != nil {",
				"io.ReadFull(r, b[at:]); err != nil && len(b) == 0 {",
			},
		},
	},
	{
		name: "a link goes on after a frame that is cut off",
		by:   "^TestTruncatedResponses$",
		changes: map[string][]string{
			fileWatcher: {
				"ReadFrame(s.r, &response); err != nil {\n\t\treturn err\n",
				"ReadFrame(s.r, &response); err != nil {\n\t\treturn nil\n",
			},
		},
	},
	{
		name: "a change that is cut off has been acknowledged",
		by:   "^TestTruncatedResponses$",
		changes: map[string][]string{
			fileClient: {
				"if errors.Is(err, io.EOF) {",
				"if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {",
			},
		},
	},
	{
		name: "tries share a connection",
		by:   "^TestSurplusResponsesAreIgnored$",
		changes: map[string][]string{
			fileClient: {
				"\t\tDisableKeepAlives:  true,\n",
				"",
			},
		},
	},
}

// TestPlantedExchangeFaults plants each of them in turn.
func TestPlantedExchangeFaults(t *testing.T) {
	for _, one := range exchangeFaults {
		t.Run(strings.ReplaceAll(one.name, " ", "_"), one.plant)
	}
}
