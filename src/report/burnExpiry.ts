/**
 * Removes burn objects that no report needs any more, a few at a time: each
 * sweep lists the objects of one past hour.
 */
import {type Platform, WriteOutcome} from "../link/platform.js"
import {hourOf} from "../policy/burn.js"
import {budgetPeriodMs} from "../policy/burnAlerts.js"
import {burnKind, burnPrefix} from "./burnObject.js"

const retentionHours = hourOf(budgetPeriodMs) + 2
/** How far back expired hours are looked for. */
const sweepDepthHours = 96
const maxRemovalsPerSweep = 16

export class BurnExpiry {
	/** The next hour to sweep, and the hour the round began at. */
	private next = 0
	private roundHour = -1

	/** One listing and at most `maxRemovalsPerSweep` removals. */
	async sweep(platform: Platform, now: number): Promise<void> {
		const newest = hourOf(now) - retentionHours
		if (newest !== this.roundHour) {
			this.roundHour = newest
			this.next = newest
		}
		if (this.next <= newest - sweepDepthHours) return
		try {
			if (await removeHour(platform, this.next)) this.next -= 1
		} catch {
			// The next sweep lists the same hour again.
		}
	}
}

/** True when the hour has no object left. */
async function removeHour(platform: Platform, hour: number): Promise<boolean> {
	const {items} = await platform.list(burnKind, burnPrefix(hour))
	for (const {name, version} of items.slice(0, maxRemovalsPerSweep)) {
		const result = await platform.remove(burnKind, name, version)
		if (result.outcome !== WriteOutcome.Written) return false
	}
	return items.length <= maxRemovalsPerSweep
}
