package questionnaire

import (
	"path/filepath"
	"testing"

	"github.com/samber/lo"
	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/agateturn/agateturn/config"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// TestExamplesAgree checks that the configuration of each example is the one generated from its answers.
// go test ./questionnaire -run TestExamplesAgree -update rewrites the configurations.
func TestExamplesAgree(t *testing.T) {
	sizes := map[string]map[string]int{
		"agency": {"tastings": 9, "allergens": 9, "labelling": 11, "exports": 12, "registry": 8},
		"brenaz": {"kettle": 8, "tarif": 9, "remplissage": 11, "etiquette": 12, "atelier": 8},
	}
	for name, pools := range sizes {
		t.Run(name, func(t *testing.T) {
			cfg := generateExample(t, name)
			assert.DeepEqual(t, lo.CountValuesBy(cfg.GetHosts(), (*pb.Host).GetPool), pools)
			for rack, hosts := range lo.CountValuesBy(cfg.GetHosts(), (*pb.Host).GetRack) {
				assert.Assert(t, hosts <= 4, "rack %s holds %d", rack, hosts)
			}
			for _, host := range cfg.GetHosts() {
				assert.Equal(t, host.GetSlots(), int64(8))
				assert.Equal(t, host.GetConnections(), int64(64))
			}
			assertPoolsSpread(t, cfg)
		})
	}
}

// generateExample generates the configuration of an example, compares it with its file and returns it as read back.
func generateExample(t *testing.T, name string) *pb.Configuration {
	t.Helper()
	dir := filepath.Join("..", "examples", name)
	answers, err := Load(filepath.Join(dir, "answers.ini"))
	assert.NilError(t, err)
	cfg, err := Generate(answers)
	assert.NilError(t, err)
	text, err := settings.Marshal(cfg)
	assert.NilError(t, err)
	path := filepath.Join(dir, "deployment.ini")
	golden.Assert(t, string(text), filepath.Join("..", path))
	read := &pb.Configuration{}
	assert.NilError(t, settings.Load(path, read))
	assert.DeepEqual(t, read, cfg, protocmp.Transform())
	assert.NilError(t, config.Check(read))
	return read
}

// assertPoolsSpread checks that no data centre or rack holds more hosts of a pool than an even spread requires.
func assertPoolsSpread(t *testing.T, cfg *pb.Configuration) {
	t.Helper()
	for _, pool := range cfg.GetPools() {
		hosts := lo.Filter(cfg.GetHosts(), func(h *pb.Host, _ int) bool { return h.GetPool() == pool.GetName() })
		even := (len(hosts) + len(cfg.GetDataCentres()) - 1) / len(cfg.GetDataCentres())
		for centre, held := range lo.CountValuesBy(hosts, (*pb.Host).GetDataCentre) {
			assert.Assert(t, held <= even, "%s holds %d of %s", centre, held, pool.GetName())
		}
		for rack, held := range lo.CountValuesBy(hosts, (*pb.Host).GetRack) {
			assert.Assert(t, held <= 2, "rack %s holds %d of %s", rack, held, pool.GetName())
		}
	}
}
