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

// quiet is how long nothing may have been written for an event to be over.
const quiet = 4 * time.Second

// deployment counts the calls of each event at the platform's stand-in.
type deployment struct {
	b       *testing.B
	cluster *demo.Cluster
	// size is that of all audit entries, in bytes.
	size int
}

// settle waits until nothing is written any more and returns the counts.
func (d *deployment) settle() platformstub.Counts {
	d.b.Helper()
	counts, since := d.cluster.Platform.Counts(), time.Now()
	for time.Since(since) < quiet {
		time.Sleep(50 * time.Millisecond)
		if now := d.cluster.Platform.Counts(); now.Writes != counts.Writes {
			counts, since = now, time.Now()
		}
	}
	return d.cluster.Platform.Counts()
}

// event reports the calls and the audit entries of one event.
func (d *deployment) event(name string, do func() error) {
	d.b.Run(name, func(b *testing.B) {
		d.settle()
		objects := d.objects()
		size, before := d.size, d.cluster.Platform.Counts()
		if err := do(); err != nil {
			b.Fatal(err)
		}
		after := d.settle()
		b.ReportMetric(float64(after.Writes-before.Writes), "writes")
		b.ReportMetric(float64(after.Reads-before.Reads), "reads")
		if more := d.objects() - objects; more > 0 {
			b.ReportMetric(float64(more), "audit")
			b.ReportMetric(float64(d.size-size)/float64(more), "bytes/audit")
		}
	})
}

// objects returns the number of audit entries and notes their size.
func (d *deployment) objects() int {
	store, ctx := d.cluster.Platform.Store(), context.Background()
	names, err := store.ListObjects(ctx, audit.Prefix, "", 10_000)
	if err != nil {
		d.b.Fatal(err)
	}
	d.size = 0
	for _, name := range names {
		data, err := store.GetObject(ctx, name)
		if err != nil {
			d.b.Fatal(err)
		}
		d.size += len(data)
	}
	return len(names)
}

// BenchmarkStore counts what each event costs at the platform, with a few daemons
// in one process. It is to be run once: -benchtime 1x.
func BenchmarkStore(b *testing.B) {
	for _, slots := range []int{64, 512} {
		text := strings.Replace(demo.ConfigFile, `"slots": 64`, fmt.Sprintf(`"slots": %d`, slots), 1)
		c, err := demo.Start(context.Background(), demo.WithNodes(8), demo.WithFile([]byte(text)))
		if err != nil {
			b.Fatal(err)
		}
		d := &deployment{b: b, cluster: c}
		name := func(event string) string { return fmt.Sprintf("%s/slots=%d", event, slots) }
		d.event(name("idle"), func() error { return nil })
		d.event(name("join"), func() error {
			_, err := c.StartNode()
			return err
		})
		d.event(name("leave"), c.Nodes[2].Leave)
		d.event(name("loss"), func() error {
			c.Nodes[3].Kill()
			return nil
		})
		d.event(name("configuration"), func() error {
			_, err := c.Apply(context.Background(), []byte(text+"// changed\n"), 1)
			return err
		})
		d.event(name("status"), func() error {
			_, err := operator.NewClient(c.Nodes[0].Settings.Operator).Status(context.Background())
			return err
		})
		c.Stop()
	}
}
