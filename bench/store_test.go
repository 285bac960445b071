package bench_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"fulmarrun/audit"
	"fulmarrun/demo"
	"fulmarrun/operator"
	"fulmarrun/platformstub"
)

// settleTime is how long there must be no writes before an event counts as complete.
const settleTime = 4 * time.Second

// eventCounter counts the calls that each event makes to the platform stub.
type eventCounter struct {
	b       *testing.B
	cluster *demo.Cluster
	// auditBytes is the total size of all audit entries, in bytes.
	auditBytes int
}

// waitSettled waits until there were no writes for settleTime and returns the counts.
func (d *eventCounter) waitSettled() platformstub.Counts {
	d.b.Helper()
	last, lastWrite := d.cluster.Platform.Counts(), time.Now()
	for time.Since(lastWrite) < settleTime {
		time.Sleep(50 * time.Millisecond)
		if now := d.cluster.Platform.Counts(); now.Writes != last.Writes {
			last, lastWrite = now, time.Now()
		}
	}
	return d.cluster.Platform.Counts()
}

// measure triggers an event and reports its platform calls and audit entries.
func (d *eventCounter) measure(name string, trigger func() error) {
	d.b.Run(name, func(b *testing.B) {
		d.waitSettled()
		entriesBefore := d.countAuditEntries()
		bytesBefore, before := d.auditBytes, d.cluster.Platform.Counts()
		if err := trigger(); err != nil {
			b.Fatal(err)
		}
		after := d.waitSettled()
		b.ReportMetric(float64(after.Writes-before.Writes), "writes")
		b.ReportMetric(float64(after.Reads-before.Reads), "reads")
		if added := d.countAuditEntries() - entriesBefore; added > 0 {
			b.ReportMetric(float64(added), "audit")
			b.ReportMetric(float64(d.auditBytes-bytesBefore)/float64(added), "bytes/audit")
		}
	})
}

// countAuditEntries returns the number of audit entries and sets auditBytes.
func (d *eventCounter) countAuditEntries() int {
	store, ctx := d.cluster.Platform.Store(), context.Background()
	names, err := store.ListObjects(ctx, audit.Prefix, "", 10_000)
	if err != nil {
		d.b.Fatal(err)
	}
	d.auditBytes = 0
	for _, name := range names {
		data, err := store.GetObject(ctx, name)
		if err != nil {
			d.b.Fatal(err)
		}
		d.auditBytes += len(data)
	}
	return len(names)
}

// BenchmarkStore reports the platform calls of each event, with a few daemons in one
// process. Run it once: -benchtime 1x.
func BenchmarkStore(b *testing.B) {
	for _, slots := range []int{64, 512} {
		text := strings.Replace(demo.ConfigFile, `"slots": 64`, fmt.Sprintf(`"slots": %d`, slots), 1)
		c, err := demo.Start(context.Background(), demo.WithNodes(8), demo.WithFile([]byte(text)))
		if err != nil {
			b.Fatal(err)
		}
		counter := &eventCounter{b: b, cluster: c}
		benchmarkName := func(event string) string { return fmt.Sprintf("%s/slots=%d", event, slots) }
		counter.measure(benchmarkName("idle"), func() error { return nil })
		counter.measure(benchmarkName("join"), func() error {
			_, err := c.StartNode()
			return err
		})
		counter.measure(benchmarkName("leave"), c.Nodes[2].Leave)
		counter.measure(benchmarkName("loss"), func() error {
			c.Nodes[3].Kill()
			return nil
		})
		counter.measure(benchmarkName("configuration"), func() error {
			_, err := c.Apply(context.Background(), []byte(text+"// changed\n"), 1)
			return err
		})
		counter.measure(benchmarkName("status"), func() error {
			_, err := operator.NewClient(c.Nodes[0].Settings.Operator).Status(context.Background())
			return err
		})
		c.Stop()
	}
}
