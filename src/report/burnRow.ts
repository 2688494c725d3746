/** The cells of one row of the burn report, alike as text and as HTML. */
import type {BurnAssessment} from "../policy/burnAlerts.js"
import {
	formatExhaustion,
	formatGoodShare,
	formatPercent,
	formatRate,
	formatSeverity
} from "./format.js"

/** Cells in the order of the report's columns; the Member comes first. */
export function listCells(one: BurnAssessment, at: number): string[] {
	return [
		one.member ?? "all",
		formatSeverity(one.severity),
		String(one.good),
		String(one.bad),
		formatGoodShare(one),
		formatRate(one.rates.fastShort),
		formatRate(one.rates.fastLong),
		formatRate(one.rates.slowShort),
		formatRate(one.rates.slowLong),
		formatPercent(one.budgetLeft, 0),
		formatExhaustion(one, at),
		one.leadingCause ?? "-"
	]
}
