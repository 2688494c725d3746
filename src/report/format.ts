/** Formatting of values, shared by the text and the HTML burn report. */
import {hourMs, minuteMs} from "../policy/burn.js"
import {AlertSeverity, type BurnAssessment} from "../policy/burnAlerts.js"

const dayMs = 24 * hourMs

export function formatRate(rate: number): string {
	return rate >= 100 ? rate.toFixed(0) : rate.toFixed(1)
}

export function formatPercent(share: number, digits = 1): string {
	return `${(share * 100).toFixed(digits)}%`
}

/** Formats the share of good requests; "-" when there were no requests. */
export function formatGoodShare({good, bad}: BurnAssessment): string {
	const total = good + bad
	return total === 0 ? "-" : formatPercent(good / total, 2)
}

/** Formats the time from `at` until the budget is spent, as in `3 h 20 min`. */
export function formatExhaustion(
	{exhaustedAt, budgetLeft}: BurnAssessment,
	at: number
): string {
	if (budgetLeft <= 0) return "spent"
	if (exhaustedAt === undefined) return "not burning"
	const leftMs = exhaustedAt - at
	if (leftMs >= 10 * dayMs) return "over 10 days"
	if (leftMs >= 2 * dayMs) return `${Math.floor(leftMs / dayMs)} days`
	const hours = Math.floor(leftMs / hourMs)
	const minutes = Math.floor((leftMs % hourMs) / minuteMs)
	return hours === 0 ? `${minutes} min` : `${hours} h ${minutes} min`
}

export function formatSeverity(severity: AlertSeverity): string {
	return severity === AlertSeverity.None ? "ok" : severity.toUpperCase()
}

/** Formats a time as in `2026-12-03 20:41 UTC`. */
export function formatTime(at: number): string {
	return `${new Date(at).toISOString().slice(0, 16).replace("T", " ")} UTC`
}

/** Formats the UTC time of day as in `20:41`. */
export function formatClock(at: number): string {
	return new Date(at).toISOString().slice(11, 16)
}
