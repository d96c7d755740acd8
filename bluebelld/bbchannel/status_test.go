package bbchannel

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// invalidStatuses are texts in place of a status that aren't a status from 100 to 599.
var invalidStatuses = []string{
	"000", "099", "+20", "-00", "-01", "600", "999", "1000", "20", "2000", "200x", "0x0", "OK", "two", "",
}

// Regression: statuses below 100 counted as interim answers, and those from 600 on as answers.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range invalidStatuses {
		for name, text := range map[string]string{
			"with a length":     status + " X\r\nContent-Length: 2\r\n\r\nok",
			"in chunks":         status + " X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			"up to the close":   status + " X\r\n\r\nok",
			"without a body":    status + " X\r\nContent-Length: 0\r\n\r\n",
			"without a reason":  status + "\r\nContent-Length: 0\r\n\r\n",
			"before an answer":  status + " X\r\n\r\n" + answer,
			"around an answer":  status + " X\r\nContent-Length: 40\r\n\r\n" + answer,
			"after interim one": "103 Early Hints\r\n\r\nHTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				body, err := exchange(t, endpoint(t, respond("HTTP/1.1 "+text)))
				if !errors.Is(err, ErrBroken) {
					t.Errorf("body %q, error %v; want ErrBroken", body, err)
				}
			})
		}
	}
}

func TestValidStatusIsAnAnswer(t *testing.T) {
	for _, status := range []string{"200", "299", "302", "404", "500", "599"} {
		t.Run(status, func(t *testing.T) {
			body, err := exchange(t, endpoint(t, respond("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")))
			if body != "ok" || err != nil {
				t.Errorf("body %q, error %v; want ok", body, err)
			}
		})
	}
}
