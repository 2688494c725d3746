/** Formats a row of the burn report, the same for text and HTML. */
import type {BurnAssessment} from "../policy/burnAlerts.js"
import {
	formatExhaustion,
	formatGoodShare,
	formatPercent,
	formatRate,
	formatSeverity
} from "./format.js"

/** Returns the cells in the order of the report's columns, the Member first. */
export function formatCells(assessment: BurnAssessment, at: number): string[] {
	return [
		assessment.member ?? "all",
		formatSeverity(assessment.severity),
		String(assessment.good),
		String(assessment.bad),
		formatGoodShare(assessment),
		formatRate(assessment.rates.fastShort),
		formatRate(assessment.rates.fastLong),
		formatRate(assessment.rates.slowShort),
		formatRate(assessment.rates.slowLong),
		formatPercent(assessment.budgetLeft, 0),
		formatExhaustion(assessment, at),
		assessment.leadingCause ?? "-"
	]
}
