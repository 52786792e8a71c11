package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/burn"
)

const (
	// sampleRetention covers the longest window and an earlier sample as its baseline.
	sampleRetention = burn.WindowTicketLong + 30*time.Minute
	// maxSampleBytes limits the length of a line in a samples file.
	maxSampleBytes = 1 << 20
)

// readSamples reads a samples file, which has one JSON document per line. A file that does
// not exist has no samples. An incomplete last line, as an interrupted run leaves it, is
// skipped, and incomplete is true.
func readSamples(path string) (samples []burn.Sample, incomplete bool, err error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	completeLength := bytes.LastIndexByte(data, '\n') + 1
	incomplete = completeLength < len(data)
	scanner := bufio.NewScanner(bytes.NewReader(data[:completeLength]))
	scanner.Buffer(nil, maxSampleBytes)
	for line := 1; scanner.Scan(); line++ {
		sample, err := decodeSample(scanner.Bytes())
		if err != nil {
			return nil, false, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		samples = append(samples, sample)
	}
	return samples, incomplete, scanner.Err()
}

func decodeSample(line []byte) (burn.Sample, error) {
	var sample burn.Sample
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&sample); err != nil {
		return sample, fmt.Errorf("%w; expected a sample with source, at and routes", err)
	}
	if sample.Source == "" || sample.At.IsZero() {
		return sample, errors.New("the sample has no source or no time; expected both")
	}
	return sample, nil
}

func encodeSamples(samples []burn.Sample) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, sample := range samples {
		if err := encoder.Encode(sample); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

// appendSamples adds samples to the end of a file with one write.
func appendSamples(path string, samples []burn.Sample) error {
	encoded, err := encodeSamples(samples)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	_, err = file.Write(encoded)
	return errors.Join(err, file.Close())
}

// rewriteSamples replaces the file atomically, so that a reader never sees a partial file.
func rewriteSamples(path string, samples []burn.Sample) error {
	encoded, err := encodeSamples(samples)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	_, err = file.Write(encoded)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}

// dropExpired returns the samples that are not older than sampleRetention at the time now.
func dropExpired(samples []burn.Sample, now time.Time) []burn.Sample {
	var kept []burn.Sample
	for _, sample := range samples {
		if now.Sub(sample.At) <= sampleRetention {
			kept = append(kept, sample)
		}
	}
	return kept
}
