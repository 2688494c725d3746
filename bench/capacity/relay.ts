/**
 * What an entry spends when an endpoint process reports to two entries of its
 * failure domain, which pass its figures on to the other entries in batches,
 * and when a change of the configuration travels as its difference.
 */
import type {Cost} from "./costs.js"
import {changesPerSecond, type Size, wakingsPerSecond} from "./size.js"
import type {Slopes} from "./slopes.js"

export interface RelayPlan {
	/** Entries that an endpoint process reports to. */
	relays: number
	/** Between two reports on one link, busy or idle. */
	reportMs: number
	/** Between two batches to one entry. */
	batchMs: number
	/** Load and changes of one endpoint process in a batch. */
	bytesPerEndpoint: number
	announceMs: number
	listMs: number
	/** What replaces the root when one part changes. */
	rootDeltaBytes: number
}

export const relayPlan: RelayPlan = {
	relays: 2,
	reportMs: 2000,
	batchMs: 5000,
	bytesPerEndpoint: 14,
	announceMs: 60_000,
	listMs: 30_000,
	rootDeltaBytes: 100
}

const msPerSecond = 1000
const usPerSecond = 1_000_000
const comparisonsPerSecond = 2.6

/** Report links that one entry holds. */
export function relayedLinks(
	{endpoints, entries}: Size,
	{relays}: RelayPlan
): number {
	return (endpoints * relays) / entries
}

/** Bytes a second of one entry, both directions. */
export function relayedEntryBytes(
	size: Size,
	slopes: Slopes,
	plan: RelayPlan
): Cost[] {
	const links = relayedLinks(size, plan)
	const batch = slopes.idleLinkBytes / 2 + links * plan.bytesPerEndpoint
	const served = links * plan.rootDeltaBytes
	const change = 2 * (plan.rootDeltaBytes + slopes.partBytes) + served
	return [
		{
			what: "report links",
			amount: (links * slopes.idleLinkBytes * msPerSecond) / plan.reportMs
		},
		{
			what: "batches sent and received",
			amount: batchesPerSecond(size, plan) * batch
		},
		{
			what: "announcements",
			amount: (links * slopes.announceBytes * msPerSecond) / plan.announceMs
		},
		{
			what: "platform's list of hosts",
			amount: (slopes.hostListBytes * msPerSecond) / plan.listMs
		},
		{
			what: "residency changes",
			amount: wakingsPerSecond(size) * slopes.residencyBytes
		},
		{
			what: "configuration changes",
			amount: changesPerSecond(size) * change
		},
		{
			what: "anti-entropy of generations",
			amount: comparisonsPerSecond * slopes.announceBytes
		},
		{what: "burn counts", amount: slopes.burnBytes}
	]
}

/** Share of a core that an entry spends on control. */
export function relayedEntryCore(
	size: Size,
	slopes: Slopes,
	plan: RelayPlan
): Cost[] {
	const links = relayedLinks(size, plan)
	const linkShare = slopes.idleLinksShare / size.endpoints
	const routed = size.requestsPerSecond / size.entries
	return [
		{
			what: "report links",
			amount: (links * linkShare * msPerSecond) / plan.reportMs
		},
		{
			what: "batches sent and received",
			amount: (batchesPerSecond(size, plan) * linkShare) / 2
		},
		{
			what: "announcements",
			amount:
				(links * slopes.announceUs * msPerSecond) /
				plan.announceMs /
				2 /
				usPerSecond
		},
		{
			what: "routing decisions",
			amount: (routed * slopes.routeUs) / usPerSecond
		}
	]
}

/** Bytes a second of one endpoint process on its links, both directions. */
export function relayedEndpointBytes(slopes: Slopes, plan: RelayPlan): Cost[] {
	const {relays, reportMs} = plan
	const amount = (relays * slopes.idleLinkBytes * msPerSecond) / reportMs
	return [{what: "report links", amount}]
}

/** Batches that one entry sends and receives. */
function batchesPerSecond({entries}: Size, {batchMs}: RelayPlan): number {
	return (2 * (entries - 1) * msPerSecond) / batchMs
}
