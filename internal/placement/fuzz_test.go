package placement_test

import (
	"encoding/json"
	"testing"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// FuzzCompile decodes arbitrary bytes as a document. If the document compiles, every bucket must
// have a back end of the document or none, and the next document must have the next version.
func FuzzCompile(f *testing.F) {
	document, err := placement.New("wallet-core", stamp(1),
		placement.SetFrontends([]lb.Frontend{frontend()}), placement.Prepare(targets(3)), placement.Commit())
	if err != nil {
		f.Fatal(err)
	}
	seed, err := json.Marshal(document)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded lb.Placement
		if json.Unmarshal(data, &decoded) != nil {
			return
		}
		table, err := placement.Compile(&decoded)
		if err != nil {
			return
		}
		for bucket := range uint16(lb.BucketCount) {
			for _, id := range []lb.BackendID{table.Current(bucket), table.Base(bucket)} {
				if _, found := table.Backend(id); !found && id != lb.NoBackend {
					t.Fatalf("bucket %d has back end %d, which is not in the document", bucket, id)
				}
			}
		}
		following, err := placement.Next(&decoded, stamp(1), placement.Prepare(nil), placement.Commit())
		if err == nil && following.Version != decoded.Version+1 {
			t.Fatalf("version %d after %d", following.Version, decoded.Version)
		}
	})
}
