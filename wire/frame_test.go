package wire_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/wire"
)

func TestFramesRoundTrip(t *testing.T) {
	submit := wire.Submit{
		Request: "r", Organisation: "o", Class: "c", Chat: "h", Model: "m", Engine: "e", Stream: true, Body: []byte("{}"), FirstOffset: 3,
		ReceivedText: "text", Loads: []wire.RouterLoad{{Router: "x", Load: wire.ModelLoad{Model: "m", Running: 4, Engines: 2, TokenGapMicros: 9}}},
		Waited: time.Second,
	}
	tests := []wire.Frame{
		{Kind: wire.KindSubmit, Stream: 7, Body: wire.Encode(submit)},
		{Kind: wire.KindCancel, Stream: 1 << 60, Body: []byte{}},
	}
	var buffer bytes.Buffer
	for _, want := range tests {
		if err := wire.Write(&buffer, want); err != nil {
			t.Fatal(err)
		}
		got, err := wire.Read(&buffer)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %v, %v, want %v", got, err, want)
		}
	}
	got, err := wire.Decode[wire.Submit](tests[0].Body)
	if err != nil || !reflect.DeepEqual(got, submit) {
		t.Errorf("got %+v, %v, want %+v", got, err, submit)
	}
}

func TestInvalidFramesAreRefused(t *testing.T) {
	tests := []struct {
		name string
		raw  []byte
	}{
		{"unknown kind", []byte{0, 0, 0, 0, 200, 0, 0, 0, 0, 0, 0, 0, 0}},
		{"kind 0", []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
		{"too large", []byte{255, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0}},
	}
	for _, tt := range tests {
		var refused *wire.FrameError
		if _, err := wire.Read(bytes.NewReader(tt.raw)); !errors.As(err, &refused) {
			t.Errorf("%s: got %v, want a FrameError", tt.name, err)
		}
	}
}

func FuzzFrames(f *testing.F) {
	var seed bytes.Buffer
	_ = wire.Write(&seed, wire.Frame{Kind: wire.KindGossip, Body: wire.Encode(wire.Gossip{From: "a"})})
	f.Add(seed.Bytes())
	f.Add([]byte{0, 0, 0, 1, 2, 0, 0, 0, 0, 0, 0, 0, 1, 0x91})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := wire.Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := wire.Write(&again, frame); err != nil || !bytes.Equal(again.Bytes(), raw[:again.Len()]) {
			t.Errorf("frame %v differs after a round trip: %v", frame, err)
		}
		_, _ = wire.Decode[wire.Submit](frame.Body)
		_, _ = wire.Decode[wire.Gossip](frame.Body)
		_, _ = wire.Decode[wire.Call](frame.Body)
		_, _ = wire.Decode[wire.Events](frame.Body)
	})
}
