package httpstrict

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/faultlink/invalidtest"
	"balsamsail/internal/faultlink/unframedtest"
)

const callTimeout = 5 * time.Second

func post(t *testing.T, address string, body []byte) error {
	t.Helper()
	client := &http.Client{Transport: Wrap(&http.Transport{DisableKeepAlives: true}), Timeout: callTimeout}
	response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err
}

// Guards against responses that are not HTTP and reach a caller, with fields or a body that the server did not send.
func TestInvalidResponses(t *testing.T) {
	invalidtest.Run(t, "", "answer", func(t *testing.T, address string) error { return post(t, address, nil) })
}

// Guards against a response to an upload that is cut by a reset and looks whole.
func TestEarlyResponsesToUploads(t *testing.T) {
	unframedtest.CheckUpload(t, "", "answer", func(t *testing.T, address string) error {
		return post(t, address, make([]byte, unframedtest.UploadBytes))
	})
}

// Guards against a check that rejects unusual responses which HTTP allows.
func TestUnusualResponses(t *testing.T) {
	for name, answer := range map[string]unframedtest.Answer{
		"version 1.2":         {Version: "HTTP/1.2"},
		"no reason":           {Status: "200 "},
		"reason with a tab":   {Status: "200 O\tK"},
		"reason of other set": {Status: "200 \xc3\xa4\xff"},
		"unknown status":      {Status: "599 Odd"},
		"folded field":        {Head: "X: a\r\n b\r\n"},
		"field without value": {Head: "X:\r\n"},
		"every byte of names": {Head: "!#$%&'*+-.^_`|~09azAZ: 1\r\n"},
		"trailer":             {Head: "Transfer-Encoding: chunked\r\n", Body: "3\r\nabc\r\n0\r\nX: 1\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			if err := post(t, unframedtest.Start(t, answer), nil); err != nil {
				t.Error(err)
			}
		})
	}
}
