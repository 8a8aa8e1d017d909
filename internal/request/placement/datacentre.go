package placement

import "hornbeamvale.example/hornbeamvale/internal/process/replica"

// otherDataCentreSeconds is the cost of a replica in another data centre: a round trip
// between data centres (1 to 1.5 ms one way) and a margin for the relayed chunks.
const otherDataCentreSeconds = 0.005

// DataCentre prefers replicas in the VM's own data centre.
type DataCentre struct{}

// Name implements Score.
func (DataCentre) Name() string { return "data-centre" }

// Score implements Score.
func (DataCentre) Score(r Request, c replica.Candidate) float64 {
	if c.DataCentre == "" || c.DataCentre == r.DataCentre {
		return 0
	}
	return -otherDataCentreSeconds
}
