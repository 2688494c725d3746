/**
 * Burn rates, alerts and what is left of the error budget, worked out from a
 * ledger of burn counts.
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
	/** Both the 30-minute and the 6-hour rate are at the slow threshold. */
	Ticket = "ticket",
	/** Both the 5-minute and the 1-hour rate are at the fast threshold. */
	Page = "page"
}

export const fastBurnThreshold = 14.4
export const slowBurnThreshold = 6

/** Bad requests in the long window below which no alert is raised. */
export const minBadForAlert = 3

/** The error budget is that of the last 24 hours. */
export const budgetPeriodMs = 24 * hourMs

const minBudget = 1e-6

export const burnWindowsMs = {
	fastShort: 5 * minuteMs,
	fastLong: hourMs,
	slowShort: 30 * minuteMs,
	slowLong: 6 * hourMs
}

/** Burn rates of the four alert windows; 1 spends the budget in its period. */
export type BurnRates = Record<keyof typeof burnWindowsMs, number>

/** A target share of good requests. */
export interface BurnTarget {
	name: string
	target: number
}

/** The state of one service level, for all Members or for one. */
export interface BurnAssessment {
	serviceLevel: string
	/** Undefined for all Members together. */
	member: string | undefined
	target: number
	/** Counts of the budget period. */
	good: number
	bad: number
	rates: BurnRates
	severity: AlertSeverity
	/** Share of the budget that is left; below 0 when overspent. */
	budgetLeft: number
	/** When the budget ends at the 1-hour rate; undefined when it does not. */
	exhaustedAt: number | undefined
	/** Of the last hour, else of the budget period. */
	leadingCause: BurnCause | undefined
}

/** How many times faster than permitted the budget is spent. */
export function computeBurnRate(counts: WindowCounts, target: number): number {
	const total = counts.good + counts.bad
	if (total === 0) return 0
	return counts.bad / total / budgetOf(target)
}

/** Assesses one service level, for all Members or for the one given. */
export function assessBurn(
	ledger: BurnLedger,
	level: BurnTarget,
	at: number,
	member?: string
): BurnAssessment {
	const filter: SumFilter = {serviceLevel: level.name, member}
	const windows = sumWindows(ledger, filter, at)
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

/** Assesses each Member of a service level, the most bad requests first. */
export function assessMembers(
	ledger: BurnLedger,
	level: BurnTarget,
	at: number
): BurnAssessment[] {
	const members = listMembers(ledger, level.name)
	const all = members.map(member => assessBurn(ledger, level, at, member))
	return all.sort((a, b) => b.bad - a.bad)
}

function budgetOf(target: number): number {
	return Math.max(1 - target, minBudget)
}

type Windows = Record<keyof typeof burnWindowsMs, WindowCounts>

function sumWindows(
	ledger: BurnLedger,
	filter: SumFilter,
	at: number
): Windows {
	const sum = (windowMs: number): WindowCounts =>
		sumWindow(ledger, filter, at, windowMs)
	return {
		fastShort: sum(burnWindowsMs.fastShort),
		fastLong: sum(burnWindowsMs.fastLong),
		slowShort: sum(burnWindowsMs.slowShort),
		slowLong: sum(burnWindowsMs.slowLong)
	}
}

function computeRates(windows: Windows, target: number): BurnRates {
	return {
		fastShort: computeBurnRate(windows.fastShort, target),
		fastLong: computeBurnRate(windows.fastLong, target),
		slowShort: computeBurnRate(windows.slowShort, target),
		slowLong: computeBurnRate(windows.slowLong, target)
	}
}

// The tolerance keeps a rate of exactly the threshold from being lost to
// rounding.
const rateTolerance = 1e-9

function chooseSeverity(rates: BurnRates, windows: Windows): AlertSeverity {
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
