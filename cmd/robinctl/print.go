package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/operator"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes results in the chosen output format.
type printer struct {
	output string
	writer io.Writer
}

// print writes the result as JSON, or as a table whose rows the function writes.
func (printer *printer) print(result any, rows func(table io.Writer)) error {
	if printer.output == outputJSON {
		encoder := json.NewEncoder(printer.writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	const minWidth, tabWidth, padding = 0, 8, 2
	table := tabwriter.NewWriter(printer.writer, minWidth, tabWidth, padding, ' ', 0)
	rows(table)
	return table.Flush()
}

// changes prints the result of each change.
func (printer *printer) changes(changes []operator.Change) error {
	return printer.print(changes, func(table io.Writer) {
		for _, change := range changes {
			fmt.Fprintf(table, "%s %s\t%s\trevision %d\n", change.Kind, change.Name, change.Action, change.Revision)
		}
	})
}

// services prints the configuration of services.
func (printer *printer) services(services []catalog.Service) error {
	return printer.print(services, func(table io.Writer) {
		fmt.Fprintln(table, "NAME\tFRONT ENDS\tSELECTOR\tOPENS/S")
		for _, service := range services {
			limit := "unlimited"
			if service.OpensPerSecond > 0 {
				limit = fmt.Sprint(service.OpensPerSecond)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", service.Name, joinFrontends(service.Frontends), service.Selector, limit)
		}
	})
}

// backends prints the configuration of back ends.
func (printer *printer) backends(backends []catalog.Backend) error {
	return printer.print(backends, func(table io.Writer) {
		fmt.Fprintln(table, "NAME\tHOST\tZONE\tWEIGHT\tDRAIN\tLABELS")
		for index := range backends {
			backend := &backends[index]
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%v\t%s\n", backend.Name, backend.Host, backend.Zone,
				backend.EffectiveWeight(), backend.Drain, joinLabels(backend.Labels))
		}
	})
}

// status prints the configuration in force in each zone, and the state of each service.
func (printer *printer) status(status *operator.Status) error {
	return printer.print(status, func(table io.Writer) {
		fmt.Fprintf(table, "last change: revision %d\n\n", status.LastChange)
		fmt.Fprintln(table, "ZONE\tIN FORCE\tNODES\tBEHIND\tREPORT AGE\tREPORT")
		for _, zone := range status.Zones {
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d ms\t%s\n", zone.Zone, zone.ConfigRevision, zone.Nodes, zone.NodesBehind,
				zone.AgeMillis, freshness(zone.Fresh))
		}
		if len(status.Evacuated) > 0 {
			fmt.Fprintf(table, "\nevacuated zones: %s\n", joinZones(status.Evacuated))
		}
		fmt.Fprintln(table, "\nSERVICE\tVERSION\tPHASE\tCONFIG\tIN MOTION\tHISTORY\tSELECTED\tBACK ENDS")
		for index := range status.Services {
			service := &status.Services[index]
			fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%s\n", service.Name, service.Version, service.Phase,
				service.ConfigRevision, service.Generations, service.HistoryBuckets, service.Selected, joinStates(service.Backends))
		}
		for _, problem := range status.Problems {
			fmt.Fprintf(table, "\ninvalid document: %s\n", problem.Cause)
		}
	})
}

// inForce prints the zones in which a revision is in force, and the stale zones.
func (printer *printer) inForce(result *operator.WaitResult) error {
	return printer.print(result, func(table io.Writer) {
		fmt.Fprintf(table, "revision %d is in force in %s\n", result.Revision, joinZones(result.Zones))
		if len(result.Stale) > 0 {
			fmt.Fprintf(table, "no recent report, not waited for: %s\n", joinZones(result.Stale))
		}
	})
}

// freshness returns the word for a report that is fresh or stale.
func freshness(fresh bool) string {
	if fresh {
		return "fresh"
	}
	return "stale"
}

func joinFrontends(frontends []lb.Frontend) string {
	texts := make([]string, len(frontends))
	for index, frontend := range frontends {
		texts[index] = frontend.String()
	}
	return strings.Join(texts, ",")
}

func joinLabels(labels map[string]string) string {
	var texts []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		texts = append(texts, key+"="+labels[key])
	}
	return strings.Join(texts, ",")
}

func joinStates(backends []operator.BackendReport) string {
	texts := make([]string, len(backends))
	for index, backend := range backends {
		texts[index] = fmt.Sprintf("%s=%s", backend.Name, backend.State)
	}
	return strings.Join(texts, " ")
}

func joinZones(zones []lb.Zone) string {
	texts := make([]string, len(zones))
	for index, zone := range zones {
		texts[index] = string(zone)
	}
	return strings.Join(texts, ", ")
}
