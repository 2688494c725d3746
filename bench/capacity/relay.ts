/**
 * Estimates the costs of a design that is not implemented: an endpoint process
 * reports to two entries of its failure domain, these relay its load to the
 * other entries in batches, and a configuration change is sent as a delta.
 */
import type {CostItem} from "./costs.js"
import {
	getConfigChangesPerSecond,
	type DeploymentSize,
	getActivityChangesPerSecond
} from "./size.js"
import type {UnitCosts} from "./slopes.js"

export interface RelayParameters {
	/** Entries that an endpoint process reports to. */
	relays: number
	/** Interval of reports on one link, busy or idle. */
	reportIntervalMs: number
	/** Interval of the batches that one entry sends to another. */
	batchIntervalMs: number
	/** Size of the load and changes of one endpoint process in a batch. */
	bytesPerEndpoint: number
	announceIntervalMs: number
	hostListIntervalMs: number
	/** Size of the delta that is sent instead of the root for one changed part. */
	rootDeltaBytes: number
}

/** Parameters of the design; the two sizes are assumed, not measured. */
export const relayParameters: RelayParameters = {
	relays: 2,
	reportIntervalMs: 2000,
	batchIntervalMs: 5000,
	bytesPerEndpoint: 14,
	announceIntervalMs: 60_000,
	hostListIntervalMs: 30_000,
	rootDeltaBytes: 100
}

const msPerSecond = 1000
const usPerSecond = 1_000_000
/** The number that computeEntryTraffic uses at the target size. */
const generationComparisonsPerSecond = 2.6

/** Report links that one entry has open. */
export function getLinksPerEntry(
	{endpoints, entries}: DeploymentSize,
	{relays}: RelayParameters
): number {
	return (endpoints * relays) / entries
}

/** Bytes per second of one entry, in both directions. */
export function computeRelayedEntryTraffic(
	size: DeploymentSize,
	unitCosts: UnitCosts,
	parameters: RelayParameters
): CostItem[] {
	const links = getLinksPerEntry(size, parameters)
	// Without loads, a batch is assumed to be half as large as the messages of an
	// idle link in 1 s.
	const batchBytes =
		unitCosts.idleLinkBytesPerSecond / 2 + links * parameters.bytesPerEndpoint
	const servedDeltaBytes = links * parameters.rootDeltaBytes
	const changeBytes =
		2 * (parameters.rootDeltaBytes + unitCosts.partBytes) + servedDeltaBytes
	return [
		{
			label: "report links",
			amount:
				(links * unitCosts.idleLinkBytesPerSecond * msPerSecond) /
				parameters.reportIntervalMs
		},
		{
			label: "batches sent and received",
			amount: getBatchesPerSecond(size, parameters) * batchBytes
		},
		{
			label: "announcements",
			amount:
				(links * unitCosts.announceBytes * msPerSecond) /
				parameters.announceIntervalMs
		},
		{
			label: "platform's list of hosts",
			amount:
				(unitCosts.hostListBytes * msPerSecond) / parameters.hostListIntervalMs
		},
		{
			label: "residency changes",
			amount: getActivityChangesPerSecond(size) * unitCosts.residencyBytes
		},
		{
			label: "configuration changes",
			amount: getConfigChangesPerSecond(size) * changeBytes
		},
		{
			label: "anti-entropy of generations",
			amount: generationComparisonsPerSecond * unitCosts.announceBytes
		},
		{label: "burn counts", amount: unitCosts.burnBytesPerSecond}
	]
}

/** Fraction of a core that an entry spends on control work. */
export function computeRelayedEntryCpu(
	size: DeploymentSize,
	unitCosts: UnitCosts,
	parameters: RelayParameters
): CostItem[] {
	const links = getLinksPerEntry(size, parameters)
	const linkShare = unitCosts.idleLinksCoreShare / size.endpoints
	const routed = size.requestsPerSecond / size.entries
	return [
		{
			label: "report links",
			amount: (links * linkShare * msPerSecond) / parameters.reportIntervalMs
		},
		{
			label: "batches sent and received",
			// A batch is assumed to take half the time of an idle link in 1 s.
			amount: (getBatchesPerSecond(size, parameters) * linkShare) / 2
		},
		{
			label: "announcements",
			// Half of the time is taken as that of the server.
			amount:
				(links * unitCosts.announceUs * msPerSecond) /
				parameters.announceIntervalMs /
				2 /
				usPerSecond
		},
		{
			label: "routing decisions",
			amount: (routed * unitCosts.routingDecisionUs) / usPerSecond
		}
	]
}

/** Bytes per second of one endpoint process on its links, in both directions. */
export function computeRelayedEndpointTraffic(
	unitCosts: UnitCosts,
	parameters: RelayParameters
): CostItem[] {
	const {relays, reportIntervalMs} = parameters
	const amount =
		(relays * unitCosts.idleLinkBytesPerSecond * msPerSecond) / reportIntervalMs
	return [{label: "report links", amount}]
}

/** Batches that one entry sends and receives per second. */
function getBatchesPerSecond(
	{entries}: DeploymentSize,
	{batchIntervalMs}: RelayParameters
): number {
	return (2 * (entries - 1) * msPerSecond) / batchIntervalMs
}
