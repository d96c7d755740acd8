package bbcompare

import (
	"bytes"
	"io"
	"net/http"
	"testing"
)

// call sends one call to an endpoint as an entry VM would.
func call(t *testing.T, address, id string, body []byte) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/confirmations", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Bluebell-Request", id)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if _, err := io.ReadAll(answer.Body); err != nil {
		t.Fatal(err)
	}
	if answer.StatusCode != http.StatusOK {
		t.Fatalf("status %d", answer.StatusCode)
	}
}
