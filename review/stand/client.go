package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "pule25.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

// newID returns the id of a client attempt.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// chat sends a generation to a machine on a new channel, as a client does, and returns the status of the answer, or 0
// if there is none.
func (t *test) chat(m *machine, path string, wait time.Duration) int {
	return t.generate(m, newID(), path, nil, 6, wait)
}

// generate sends a generation with a number of pieces of each phase.
func (t *test) generate(m *machine, id, path string, pieces []int, events int, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front()+path, strings.NewReader("question "+id))
	if err != nil {
		t.unable("%v", err)
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Usage", "600,"+strconv.Itoa(5*events))
	r.Header.Set("X-Prefix-Hash", "5c1e07a2:170,"+id+":430")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	if pieces != nil {
		var counts []string
		for _, n := range pieces {
			counts = append(counts, strconv.Itoa(n))
		}
		r.Header.Set("X-Chunk-Count", strings.Join(counts, ","))
		r.Header.Set("X-Chunk-Key", "7c1e"+id)
	}
	t.rec.add("client sends %s to %s, pieces %v", id, m.name, pieces)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		t.rec.add("client gets no answer to %s: %v", id, err)
		return 0
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	t.rec.add("client gets %d to %s from %s, %d bytes, whole %t, signed %t", answer.StatusCode, id, m.name, len(body), err == nil,
		answer.Header.Get("X-Response-Signature") != "")
	return answer.StatusCode
}

// crowd sends a number of generations to a machine within a time, each by a client of its own.
func (t *test) crowd(all *sync.WaitGroup, m *machine, path string, count int, within, wait time.Duration) {
	for i := range count {
		all.Add(1)
		time.AfterFunc(time.Duration(i)*within/time.Duration(count), func() {
			defer all.Done()
			t.chat(m, path, wait)
		})
	}
}
