/**
 * Estimates what one process, or the platform, spends on control messages at a
 * deployment size. Each estimate is a list of items whose sum is the total. Some
 * items are those of the target size, whatever size is given: the processor time
 * of an entry's links, of a routing decision and of the list of hosts, and the
 * bytes of that list.
 */
import {
	getConfigChangesPerSecond,
	getRunningRequestsPerEntry,
	type DeploymentSize,
	getActivityChangesPerSecond
} from "./size.js"
import type {UnitCosts} from "./slopes.js"

/** Intervals that determine the rate of control messages. */
export interface MessageIntervals {
	/** Interval of reports, and of acknowledgements, on an idle link. */
	heartbeatMs: number
	/** Interval at which an endpoint process announces itself to one entry. */
	announceIntervalMs: number
	/** Interval at which one entry reads the platform's list of hosts. */
	hostListIntervalMs: number
}

export interface CostItem {
	label: string
	amount: number
}

const msPerSecond = 1000
const usPerSecond = 1_000_000
const bytesPerMegabyte = 1_000_000
/** Default of SpreadTaskOptions.antiEntropyMs. */
const entryAntiEntropyIntervalMs = 2000
/** As antiEntropyMs in src/endpoint/entryContacts.ts. */
const endpointAntiEntropyIntervalMs = 5000
/** The scheduler takes a step on arrival, on the end of a load and of the run. */
const schedulerStepsPerRequest = 3

export function sumAmounts(costs: readonly CostItem[]): number {
	return costs.reduce((sum, {amount}) => sum + amount, 0)
}

/** Bytes per second of one entry, in both directions. */
export function computeEntryTraffic(
	size: DeploymentSize,
	unitCosts: UnitCosts,
	intervals: MessageIntervals
): CostItem[] {
	const {entries, endpoints} = size
	const configBytes = unitCosts.rootBytes + unitCosts.partBytes
	// An entry receives a change once and serves its share of all processes.
	const configTransfers = 1 + (endpoints + entries) / entries
	// Per interval, an entry starts one comparison, answers one of another entry
	// and those of its share of the endpoint processes.
	const generationComparisons =
		(2 * msPerSecond) / entryAntiEntropyIntervalMs +
		(endpoints / entries) * (msPerSecond / endpointAntiEntropyIntervalMs)
	return [
		{
			label: "report links, idle",
			amount: endpoints * getIdleLinkTraffic(unitCosts, intervals)
		},
		{
			label: "more on report links when busy",
			amount: endpoints * getExtraBusyLinkTraffic(unitCosts, intervals)
		},
		{
			label: "announcements",
			amount:
				(endpoints * unitCosts.announceBytes * msPerSecond) /
				intervals.announceIntervalMs
		},
		{
			label: "platform's list of hosts",
			amount:
				(unitCosts.hostListBytes * msPerSecond) / intervals.hostListIntervalMs
		},
		{
			label: "residency changes",
			amount: getActivityChangesPerSecond(size) * unitCosts.residencyBytes
		},
		{
			label: "configuration changes, received and served",
			amount: getConfigChangesPerSecond(size) * configBytes * configTransfers
		},
		{
			label: "anti-entropy of generations",
			// A comparison is assumed to be as large as an announcement.
			amount: generationComparisons * unitCosts.announceBytes
		},
		{label: "burn counts", amount: unitCosts.burnBytesPerSecond}
	]
}

/** Bytes per second of one endpoint process, in both directions. */
export function computeEndpointTraffic(
	size: DeploymentSize,
	unitCosts: UnitCosts,
	intervals: MessageIntervals
): CostItem[] {
	const {entries, endpoints} = size
	const changes = getActivityChangesPerSecond(size) / endpoints
	const configBytes = unitCosts.rootBytes + unitCosts.partBytes
	return [
		{
			label: "report links, idle",
			amount: entries * getIdleLinkTraffic(unitCosts, intervals)
		},
		{
			label: "more on report links when busy",
			amount: entries * getExtraBusyLinkTraffic(unitCosts, intervals)
		},
		{
			label: "announcements",
			amount:
				(entries * unitCosts.announceBytes * msPerSecond) /
				intervals.announceIntervalMs
		},
		{
			label: "residency changes",
			amount: entries * changes * unitCosts.residencyBytes
		},
		{
			label: "configuration changes",
			amount: getConfigChangesPerSecond(size) * configBytes
		},
		{
			label: "anti-entropy of generations",
			amount:
				(unitCosts.announceBytes * msPerSecond) / endpointAntiEntropyIntervalMs
		}
	]
}

/** Fraction of a core that an entry spends on control work. */
export function computeEntryCpu(
	size: DeploymentSize,
	unitCosts: UnitCosts,
	intervals: MessageIntervals
): CostItem[] {
	const {entries, endpoints, requestsPerSecond} = size
	const announcements = (endpoints * msPerSecond) / intervals.announceIntervalMs
	return [
		{
			label: "report links, idle",
			amount:
				(unitCosts.idleLinksCoreShare * msPerSecond) / intervals.heartbeatMs
		},
		{
			label: "more on report links when busy",
			amount: isLoadReportedByHeartbeat(intervals)
				? 0
				: unitCosts.busyLinksCoreShare - unitCosts.idleLinksCoreShare
		},
		{
			label: "announcements",
			// Half of the time is taken as that of the server.
			amount: (announcements * unitCosts.announceUs) / 2 / usPerSecond
		},
		{
			label: "routing decisions",
			amount:
				((requestsPerSecond / entries) * unitCosts.routingDecisionUs) /
				usPerSecond
		},
		{
			label: "platform's list of hosts",
			amount:
				(unitCosts.membershipListUs * msPerSecond) /
				intervals.hostListIntervalMs /
				usPerSecond
		},
		{
			label: "configuration changes",
			amount:
				(getConfigChangesPerSecond(size) * unitCosts.configInstallUs) /
				usPerSecond
		}
	]
}

/** Fraction of a core that an endpoint process spends on control work. */
export function computeEndpointCpu(
	size: DeploymentSize,
	unitCosts: UnitCosts,
	intervals: MessageIntervals
): CostItem[] {
	const {entries, endpoints, requestsPerSecond} = size
	const announcements = (entries * msPerSecond) / intervals.announceIntervalMs
	const steps = (requestsPerSecond / endpoints) * schedulerStepsPerRequest
	return [
		{label: "process without entries", amount: unitCosts.endpointBaseCoreShare},
		{
			label: "report links, idle",
			amount:
				(entries * unitCosts.endpointIdleLinkCoreShare * msPerSecond) /
				intervals.heartbeatMs
		},
		{
			label: "more on report links when busy",
			amount: isLoadReportedByHeartbeat(intervals)
				? 0
				: entries *
					(unitCosts.endpointBusyLinkCoreShare -
						unitCosts.endpointIdleLinkCoreShare)
		},
		{
			label: "announcements",
			// Half of the time is taken as that of the client.
			amount: (announcements * unitCosts.announceUs) / 2 / usPerSecond
		},
		{
			label: "scheduler",
			amount: (steps * unitCosts.schedulerStepUs) / usPerSecond
		},
		{
			label: "configuration changes",
			amount:
				(getConfigChangesPerSecond(size) * unitCosts.configInstallUs) /
				usPerSecond
		}
	]
}

/** Resident memory of one entry, in megabytes. */
export function computeEntryMemory(
	size: DeploymentSize,
	unitCosts: UnitCosts
): CostItem[] {
	return [
		{label: "process without adapters", amount: unitCosts.entryBaseMb},
		{label: "configuration", amount: getConfigurationMb(size, unitCosts)},
		{
			label: "links",
			amount: (size.endpoints * unitCosts.linkKb) / 1000
		},
		{
			label: "running requests",
			amount:
				(getRunningRequestsPerEntry(size) * unitCosts.runningRequestKb) / 1000
		}
	]
}

/** Resident memory of one endpoint process, in megabytes. */
export function computeEndpointMemory(
	size: DeploymentSize,
	unitCosts: UnitCosts
): CostItem[] {
	return [
		{label: "process without adapters", amount: unitCosts.endpointBaseMb},
		{label: "configuration", amount: getConfigurationMb(size, unitCosts)}
	]
}

export function computePlatformWrites(
	size: DeploymentSize,
	unitCosts: UnitCosts
): CostItem[] {
	const bookings = size.requestsPerSecond * size.bookingShare
	return [
		{label: "claims", amount: bookings * unitCosts.claimWritesPerBooking},
		{
			label: "burn counts",
			amount: size.entries * unitCosts.burnWritesPerSecond
		},
		{
			label: "root and part of a configuration change",
			amount: 2 * getConfigChangesPerSecond(size)
		}
	]
}

export function computePlatformReads(
	size: DeploymentSize,
	unitCosts: UnitCosts,
	intervals: MessageIntervals
): CostItem[] {
	// As the default of watchersPerDomain in src/policy/configSpreadState.ts.
	const watchers = 2 * size.failureDomains
	return [
		{
			label: "list of hosts",
			amount: (size.entries * msPerSecond) / intervals.hostListIntervalMs
		},
		{
			label: "watches and reads of the root",
			amount: watchers * unitCosts.watcherReadsPerSecond
		},
		{
			label: "burn counts",
			amount: size.entries * unitCosts.burnReadsPerSecond
		}
	]
}

/** Bytes per second that all processes together write to claim logs. */
export function computeClaimTraffic(
	size: DeploymentSize,
	unitCosts: UnitCosts
): number {
	const bookings = size.requestsPerSecond * size.bookingShare
	return (
		bookings * unitCosts.claimWritesPerBooking * unitCosts.bytesPerClaimWrite
	)
}

/** Fraction of a core that one entry spends on forwarding tokens. */
export function computeTokenForwardingCpu(
	{tokensPerSecond, entries}: DeploymentSize,
	usPerToken: number
): number {
	return ((tokensPerSecond / entries) * usPerToken) / usPerSecond
}

function getIdleLinkTraffic(
	{idleLinkBytesPerSecond}: UnitCosts,
	{heartbeatMs}: MessageIntervals
): number {
	return (idleLinkBytesPerSecond * msPerSecond) / heartbeatMs
}

/** Load changes cost no extra bytes when they are sent with a heartbeat. */
function getExtraBusyLinkTraffic(
	unitCosts: UnitCosts,
	intervals: MessageIntervals
): number {
	return isLoadReportedByHeartbeat(intervals)
		? 0
		: unitCosts.busyLinkBytesPerSecond - unitCosts.idleLinkBytesPerSecond
}

/**
 * Above its shortest heartbeat interval, 1 s, chooseLinkIntervals allows reports of
 * changes no more often than heartbeats.
 */
function isLoadReportedByHeartbeat({heartbeatMs}: MessageIntervals): boolean {
	return heartbeatMs > msPerSecond
}

function getConfigurationMb(
	{adapters}: DeploymentSize,
	{configBytesPerAdapter}: UnitCosts
): number {
	return (adapters * configBytesPerAdapter) / bytesPerMegabyte
}
