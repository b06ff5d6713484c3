package document

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"testing"

	"hornbeamtray/core/fleet"
)

// fullSizeConfiguration returns a configuration of the size that the system is designed for.
func fullSizeConfiguration() fleet.Configuration {
	c := fleet.NewConfiguration().WithVersion(1)
	for i := range 31 {
		c = c.WithDomain(fleet.NewDomain(fmt.Sprintf("region-%d-domain-%d", i%8, i)))
	}
	for i := range 8 {
		c = c.WithService(fleet.NewService(fmt.Sprintf("model-%d", i), fleet.Model).WithIdempotent("generate"))
	}
	for i := range 1500 {
		c = c.WithAccount(fleet.NewAccount(fmt.Sprintf("account-%d", i), fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, i)))))
	}
	for i := range 2600 {
		c = c.WithTarget(fleet.NewTarget(fmt.Sprintf("target-%d", i), fmt.Sprintf("model-%d", i%8), fmt.Sprintf("region-%d-domain-%d", (i%31)%8, i%31), fmt.Sprintf("10.%d.%d.%d:7400", i%31, i/250, i%250)))
	}
	return c
}

// BenchmarkPublication parses a full-size configuration, and reports its size plain
// and gzipped.
func BenchmarkPublication(b *testing.B) {
	text, err := PrintConfiguration(fullSizeConfiguration())
	if err != nil {
		b.Fatal(err)
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, _ = w.Write(text)
	_ = w.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := ParseConfiguration(text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "B/plain")
	b.ReportMetric(float64(packed.Len()), "B/packed")
}

// BenchmarkPart prints the part of a full-size configuration for one target.
func BenchmarkPart(b *testing.B) {
	c := fullSizeConfiguration()
	b.ReportAllocs()
	b.ResetTimer()
	length := 0
	for i := range b.N {
		text, err := PrintConfiguration(c.ForTarget(fmt.Sprintf("target-%d", i%2600)))
		if err != nil {
			b.Fatal(err)
		}
		length = len(text)
	}
	b.ReportMetric(float64(length), "B/part")
}
