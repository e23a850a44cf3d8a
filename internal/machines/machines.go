// Package machines reads the platform's list of live and leaving machines. The list lags, so it is
// used only to seed the membership: it adds peers to contact, and a node that it lacks is not
// assumed to be dead.
package machines

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/limitio"
)

// maxListBytes is the maximum size of the response: 10,000 machines of 400 bytes each.
const maxListBytes = 4_000_000

// Machine is a machine in the platform's list.
type Machine struct {
	Node    lb.NodeID
	Zone    lb.Zone
	Control netip.AddrPort // control address, UDP and TCP
	Data    netip.AddrPort // Geneve address, UDP
	Leaving bool
}

// Fetch reads the list at url. If an entry lacks its node, zone or an address, Fetch returns an
// error that names the entry: a list that is invalid in part is not used at all.
func Fetch(ctx context.Context, client *http.Client, url string) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "machine list %q", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "machine list %q", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("machine list %q: status %q", url, response.Status)
	}
	body, err := limitio.ReadAll(response.Body, maxListBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "machine list %q", url)
	}
	return parse(url, body)
}

// entry is one entry of the list in the platform's JSON format. Other fields are ignored.
type entry struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Control string `json:"control"`
	Data    string `json:"data"`
	Leaving bool   `json:"leaving"`
}

func parse(url string, body []byte) ([]Machine, error) {
	var entries []entry
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&entries); err != nil {
		return nil, errors.Wrapf(err, "machine list %q", url)
	}
	list := make([]Machine, 0, len(entries))
	for index, entry := range entries {
		machine, err := entry.machine()
		if err != nil {
			return nil, errors.Wrapf(err, "machine list %q: entry %d (%q)", url, index, entry.Node)
		}
		list = append(list, machine)
	}
	return list, nil
}

func (entry *entry) machine() (Machine, error) {
	if entry.Node == "" {
		return Machine{}, errors.New("node is missing")
	}
	if entry.Zone == "" {
		return Machine{}, errors.New("zone is missing")
	}
	control, err := netip.ParseAddrPort(entry.Control)
	if err != nil {
		return Machine{}, errors.Newf("control: %q is not an IP address and port", entry.Control)
	}
	data, err := netip.ParseAddrPort(entry.Data)
	if err != nil {
		return Machine{}, errors.Newf("data: %q is not an IP address and port", entry.Data)
	}
	return Machine{
		Node:    lb.NodeID(entry.Node),
		Zone:    lb.Zone(entry.Zone),
		Control: control,
		Data:    data,
		Leaving: entry.Leaving,
	}, nil
}
