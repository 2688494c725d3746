/** What a process spends at a size, worked out from slopes. */
import {
	changesPerSecond,
	runningPerEntry,
	type Size,
	wakingsPerSecond
} from "./size.js"
import type {Slopes} from "./slopes.js"

/** Intervals that decide how much is said; all in milliseconds. */
export interface Pace {
	/** Between two reports, and two acknowledgements, of an idle link. */
	heartbeatMs: number
	/** Between two announcements of an endpoint process to one entry. */
	announceMs: number
	/** Between two reads of the platform's list by one entry. */
	listMs: number
}

/** One contribution to a sum. */
export interface Cost {
	what: string
	amount: number
}

const msPerSecond = 1000
const usPerSecond = 1_000_000
const bytesPerMegabyte = 1_000_000
const antiEntropyOfEntryMs = 2000
const antiEntropyOfEndpointMs = 5000
/** Arrival, load and end. */
const schedulerStepsPerRequest = 3

export function sumOf(costs: readonly Cost[]): number {
	return costs.reduce((sum, {amount}) => sum + amount, 0)
}

/** Bytes a second of one entry, both directions. */
export function entryBytes(size: Size, slopes: Slopes, pace: Pace): Cost[] {
	const {entries, endpoints} = size
	const config = slopes.rootBytes + slopes.partBytes
	const served = 1 + (endpoints + entries) / entries
	const compared =
		(2 * msPerSecond) / antiEntropyOfEntryMs +
		(endpoints / entries) * (msPerSecond / antiEntropyOfEndpointMs)
	return [
		{
			what: "report links, idle",
			amount: endpoints * idleBytes(slopes, pace)
		},
		{
			what: "more on report links when busy",
			amount: endpoints * busyBytes(slopes, pace)
		},
		{
			what: "announcements",
			amount: (endpoints * slopes.announceBytes * msPerSecond) / pace.announceMs
		},
		{
			what: "platform's list of hosts",
			amount: (slopes.hostListBytes * msPerSecond) / pace.listMs
		},
		{
			what: "residency changes",
			amount: wakingsPerSecond(size) * slopes.residencyBytes
		},
		{
			what: "configuration changes, own and served",
			amount: changesPerSecond(size) * config * served
		},
		{
			what: "anti-entropy of generations",
			amount: compared * slopes.announceBytes
		},
		{what: "burn counts", amount: slopes.burnBytes}
	]
}

/** Bytes a second of one endpoint process, both directions. */
export function endpointBytes(size: Size, slopes: Slopes, pace: Pace): Cost[] {
	const {entries, endpoints} = size
	const changes = wakingsPerSecond(size) / endpoints
	const config = slopes.rootBytes + slopes.partBytes
	return [
		{what: "report links, idle", amount: entries * idleBytes(slopes, pace)},
		{
			what: "more on report links when busy",
			amount: entries * busyBytes(slopes, pace)
		},
		{
			what: "announcements",
			amount: (entries * slopes.announceBytes * msPerSecond) / pace.announceMs
		},
		{
			what: "residency changes",
			amount: entries * changes * slopes.residencyBytes
		},
		{
			what: "configuration changes",
			amount: changesPerSecond(size) * config
		},
		{
			what: "anti-entropy of generations",
			amount: (slopes.announceBytes * msPerSecond) / antiEntropyOfEndpointMs
		}
	]
}

/** Share of a core that an entry spends on control. */
export function entryCore(size: Size, slopes: Slopes, pace: Pace): Cost[] {
	const {entries, endpoints, requestsPerSecond} = size
	const announcements = (endpoints * msPerSecond) / pace.announceMs
	return [
		{
			what: "report links, idle",
			amount: (slopes.idleLinksShare * msPerSecond) / pace.heartbeatMs
		},
		{
			what: "more on report links when busy",
			amount: isSlow(pace) ? 0 : slopes.busyLinksShare - slopes.idleLinksShare
		},
		{
			what: "announcements",
			amount: (announcements * slopes.announceUs) / 2 / usPerSecond
		},
		{
			what: "routing decisions",
			amount: ((requestsPerSecond / entries) * slopes.routeUs) / usPerSecond
		},
		{
			what: "platform's list of hosts",
			amount: (slopes.listUs * msPerSecond) / pace.listMs / usPerSecond
		},
		{
			what: "configuration changes",
			amount: (changesPerSecond(size) * slopes.installUs) / usPerSecond
		}
	]
}

/** Share of a core that an endpoint process spends on control. */
export function endpointCore(size: Size, slopes: Slopes, pace: Pace): Cost[] {
	const {entries, endpoints, requestsPerSecond} = size
	const announcements = (entries * msPerSecond) / pace.announceMs
	const steps = (requestsPerSecond / endpoints) * schedulerStepsPerRequest
	return [
		{what: "without entries", amount: slopes.endpointBaseShare},
		{
			what: "report links, idle",
			amount:
				(entries * slopes.endpointIdleLinkShare * msPerSecond) /
				pace.heartbeatMs
		},
		{
			what: "more on report links when busy",
			amount: isSlow(pace)
				? 0
				: entries *
					(slopes.endpointBusyLinkShare - slopes.endpointIdleLinkShare)
		},
		{
			what: "announcements",
			amount: (announcements * slopes.announceUs) / 2 / usPerSecond
		},
		{
			what: "scheduler",
			amount: (steps * slopes.schedulerUs) / usPerSecond
		},
		{
			what: "configuration changes",
			amount: (changesPerSecond(size) * slopes.installUs) / usPerSecond
		}
	]
}

/** Megabytes resident in one entry. */
export function entryMemory(size: Size, slopes: Slopes): Cost[] {
	return [
		{what: "process without adapters", amount: slopes.entryBaseMb},
		{what: "configuration", amount: configMb(size, slopes)},
		{
			what: "links",
			amount: (size.endpoints * slopes.linkKb) / 1000
		},
		{
			what: "running requests",
			amount: (runningPerEntry(size) * slopes.requestKb) / 1000
		}
	]
}

/** Megabytes resident in one endpoint process. */
export function endpointMemory(size: Size, slopes: Slopes): Cost[] {
	return [
		{what: "process without adapters", amount: slopes.endpointBaseMb},
		{what: "configuration", amount: configMb(size, slopes)}
	]
}

export function platformWrites(size: Size, slopes: Slopes): Cost[] {
	const bookings = size.requestsPerSecond * size.bookingShare
	return [
		{what: "claims", amount: bookings * slopes.writesPerBooking},
		{what: "burn counts", amount: size.entries * slopes.burnWritesPerSecond},
		{what: "root and part of a change", amount: 2 * changesPerSecond(size)}
	]
}

export function platformReads(size: Size, slopes: Slopes, pace: Pace): Cost[] {
	const watchers = 2 * size.failureDomains
	return [
		{
			what: "list of hosts",
			amount: (size.entries * msPerSecond) / pace.listMs
		},
		{
			what: "watches and reads of the root",
			amount: watchers * slopes.watcherReadsPerSecond
		},
		{
			what: "burn counts",
			amount: size.entries * slopes.burnReadsPerSecond
		}
	]
}

/** Bytes a second that all claims together write to the platform. */
export function claimBytes(size: Size, slopes: Slopes): number {
	const bookings = size.requestsPerSecond * size.bookingShare
	return bookings * slopes.writesPerBooking * slopes.bytesPerClaimWrite
}

/** Share of a core that one entry spends on passing tokens on. */
export function entryTokens(
	{tokensPerSecond, entries}: Size,
	usPerToken: number
): number {
	return ((tokensPerSecond / entries) * usPerToken) / usPerSecond
}

function idleBytes({idleLinkBytes}: Slopes, {heartbeatMs}: Pace): number {
	return (idleLinkBytes * msPerSecond) / heartbeatMs
}

/** Reports that wait for the next heartbeat add nothing to it. */
function busyBytes(slopes: Slopes, pace: Pace): number {
	return isSlow(pace) ? 0 : slopes.busyLinkBytes - slopes.idleLinkBytes
}

function isSlow({heartbeatMs}: Pace): boolean {
	return heartbeatMs > msPerSecond
}

function configMb({adapters}: Size, {adapterBytes}: Slopes): number {
	return (adapters * adapterBytes) / bytesPerMegabyte
}
