/**
 * Burn rates, alert severities and the remaining error budget of service levels,
 * computed from a ledger of burn counts.
 */
import {
	type BurnCause,
	type BurnLedger,
	findLeadingCause,
	hourMs,
	listMembers,
	minuteMs,
	sumWindow,
	type SumFilter,
	type WindowCounts
} from "./burn.js"

/** How urgent an alert is. */
export enum AlertSeverity {
	None = "none",
	/** The 30-minute and the 6-hour rate both reach `slowBurnThreshold`. */
	Ticket = "ticket",
	/** The 5-minute and the 1-hour rate both reach `fastBurnThreshold`. */
	Page = "page"
}

/**
 * Burn rates at which the fast and the slow windows alert: 14.4 spends 60 % of
 * the budget of `budgetPeriodMs` in the 1-hour window, 6 spends it in 4 hours.
 */
export const fastBurnThreshold = 14.4
export const slowBurnThreshold = 6

/** Number of bad requests in the long window below which no alert is raised. */
export const minBadForAlert = 3

/** Period of the error budget, which ends at the present time. */
export const budgetPeriodMs = 24 * hourMs

/** Avoids a division by zero at a target of 1. */
const minErrorBudget = 1e-6

export const burnWindowsMs = {
	fastShort: 5 * minuteMs,
	fastLong: hourMs,
	slowShort: 30 * minuteMs,
	slowLong: 6 * hourMs
}

/**
 * Burn rates in the four alert windows. A rate of 1 spends the whole error
 * budget in `budgetPeriodMs`.
 */
export type BurnRates = Record<keyof typeof burnWindowsMs, number>

/** A service level by name, with its target share of good requests. */
export interface BurnTarget {
	name: string
	target: number
}

/** Error budget and alert of a service level, for all Members or for one. */
export interface BurnAssessment {
	serviceLevel: string
	/** Undefined for all Members together. */
	member: string | undefined
	target: number
	/** Requests in the budget period. */
	good: number
	bad: number
	rates: BurnRates
	severity: AlertSeverity
	/** Remaining share of the error budget; negative when overspent. */
	budgetLeft: number
	/**
	 * When the 1-hour rate will have spent the budget: the time of the assessment
	 * if it is spent already, undefined if the rate is 0.
	 */
	exhaustedAt: number | undefined
	/** Leading cause in the last hour, or in the budget period if it has none. */
	leadingCause: BurnCause | undefined
}

/** Returns the share of bad requests relative to the share permitted. */
export function computeBurnRate(counts: WindowCounts, target: number): number {
	const total = counts.good + counts.bad
	if (total === 0) return 0
	return counts.bad / total / getErrorBudget(target)
}

/** Assesses one service level, for all Members or for `member`. */
export function assessBurn(
	ledger: BurnLedger,
	level: BurnTarget,
	at: number,
	member?: string
): BurnAssessment {
	const filter: SumFilter = {serviceLevel: level.name, member}
	const windows = sumAlertWindows(ledger, filter, at)
	const rates = computeRates(windows, level.target)
	const period = sumWindow(ledger, filter, at, budgetPeriodMs)
	const budgetLeft = 1 - computeBurnRate(period, level.target)
	return {
		serviceLevel: level.name,
		member,
		target: level.target,
		good: period.good,
		bad: period.bad,
		rates,
		severity: chooseSeverity(rates, windows),
		budgetLeft,
		exhaustedAt: predictExhaustion(budgetLeft, rates.fastLong, at),
		leadingCause:
			findLeadingCause(windows.fastLong.causes) ??
			findLeadingCause(period.causes)
	}
}

/** Assesses each Member of a service level; sorts by bad requests, most first. */
export function assessMembers(
	ledger: BurnLedger,
	level: BurnTarget,
	at: number
): BurnAssessment[] {
	const members = listMembers(ledger, level.name)
	const all = members.map(member => assessBurn(ledger, level, at, member))
	return all.sort((a, b) => b.bad - a.bad)
}

function getErrorBudget(target: number): number {
	return Math.max(1 - target, minErrorBudget)
}

type CountsByWindow = Record<keyof typeof burnWindowsMs, WindowCounts>

function sumAlertWindows(
	ledger: BurnLedger,
	filter: SumFilter,
	at: number
): CountsByWindow {
	const sum = (windowMs: number): WindowCounts =>
		sumWindow(ledger, filter, at, windowMs)
	return {
		fastShort: sum(burnWindowsMs.fastShort),
		fastLong: sum(burnWindowsMs.fastLong),
		slowShort: sum(burnWindowsMs.slowShort),
		slowLong: sum(burnWindowsMs.slowLong)
	}
}

function computeRates(windows: CountsByWindow, target: number): BurnRates {
	return {
		fastShort: computeBurnRate(windows.fastShort, target),
		fastLong: computeBurnRate(windows.fastLong, target),
		slowShort: computeBurnRate(windows.slowShort, target),
		slowLong: computeBurnRate(windows.slowLong, target)
	}
}

// Rounding must not put a rate of exactly the threshold below it.
const rateTolerance = 1e-9

function chooseSeverity(
	rates: BurnRates,
	windows: CountsByWindow
): AlertSeverity {
	const fastRate = Math.min(rates.fastShort, rates.fastLong) + rateTolerance
	const slowRate = Math.min(rates.slowShort, rates.slowLong) + rateTolerance
	const isFast = fastRate >= fastBurnThreshold
	const isSlow = slowRate >= slowBurnThreshold
	if (isFast && windows.fastLong.bad >= minBadForAlert) {
		return AlertSeverity.Page
	}
	if (isSlow && windows.slowLong.bad >= minBadForAlert) {
		return AlertSeverity.Ticket
	}
	return AlertSeverity.None
}

function predictExhaustion(
	budgetLeft: number,
	rate: number,
	at: number
): number | undefined {
	if (budgetLeft <= 0) return at
	if (rate <= 0) return undefined
	return at + (budgetLeft / rate) * budgetPeriodMs
}
