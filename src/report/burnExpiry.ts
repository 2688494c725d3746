/**
 * Removes burn objects older than the period that reports cover. Each sweep lists
 * the objects of one expired hour and removes a limited number of them.
 */
import {type Platform, WriteOutcome} from "../link/platform.js"
import {hourOf} from "../policy/burn.js"
import {budgetPeriodMs} from "../policy/burnAlerts.js"
import {burnKind, burnObjectPrefix} from "./burnObject.js"

/**
 * Hours for which objects are kept: the budget period, the partial hour at its
 * start, and one spare hour.
 */
const retentionHours = hourOf(budgetPeriodMs) + 2
/**
 * Number of expired hours that are swept, from the newest back; older objects stay.
 * With one sweep per flush, at most 120 run before the next hour expires.
 */
const sweepDepthHours = 96
const maxRemovalsPerSweep = 16

export class BurnExpiry {
	/** Hour to list in the next sweep. */
	private nextHour = 0
	/** Newest expired hour, from which the sweeps go back hour by hour. */
	private sweepStartHour = -1

	/**
	 * Makes one listing and at most `maxRemovalsPerSweep` removals. Starts over at
	 * the newest expired hour whenever another hour has expired.
	 */
	async sweep(platform: Platform, now: number): Promise<void> {
		const newestExpiredHour = hourOf(now) - retentionHours
		if (newestExpiredHour !== this.sweepStartHour) {
			this.sweepStartHour = newestExpiredHour
			this.nextHour = newestExpiredHour
		}
		if (this.nextHour <= newestExpiredHour - sweepDepthHours) return
		try {
			if (await removeHourObjects(platform, this.nextHour)) this.nextHour -= 1
		} catch {
			// The hour stays `nextHour`, so the next sweep retries it.
		}
	}
}

/** Removes objects of an hour; returns true when none is left. */
async function removeHourObjects(
	platform: Platform,
	hour: number
): Promise<boolean> {
	const {items} = await platform.list(burnKind, burnObjectPrefix(hour))
	for (const {name, version} of items.slice(0, maxRemovalsPerSweep)) {
		const result = await platform.remove(burnKind, name, version)
		if (result.outcome !== WriteOutcome.Written) return false
	}
	return items.length <= maxRemovalsPerSweep
}
