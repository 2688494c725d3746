/** Renders the burn report as plain text. */
import {budgetPeriodMs} from "../policy/burnAlerts.js"
import {hourMs} from "../policy/burn.js"
import {formatCells} from "./burnRow.js"
import {formatPercent, formatTime} from "./format.js"
import type {BurnReport, LevelReport} from "./readBurn.js"

const maxMembersShown = 10
const columnGap = "  "

export function renderBurnText(report: BurnReport): string {
	const title = `Service-level burn of ${report.deployment}`
	const lines = [
		`${title} at ${formatTime(report.at)}`,
		`counts of the last ${budgetPeriodMs / hourMs} h from ${report.recorders} entry processes (a restart is another process)`
	]
	if (report.skipped > 0) {
		lines.push(
			`warning: ${report.skipped} stored objects could not be parsed and are not counted`
		)
	}
	for (const level of report.levels) {
		lines.push("", ...renderLevel(level, report.at))
	}
	return `${lines.join("\n")}\n`
}

function renderLevel(report: LevelReport, at: number): string[] {
	const {level, members} = report
	const target = formatPercent(level.target, 2)
	const window = `${level.windowMs / 1000} s`
	const shown = members
		.filter(member => member.bad > 0)
		.slice(0, maxMembersShown)
	const rows = [report.total, ...shown].map(row => formatCells(row, at))
	return [
		`${level.name}: ${target} answered completely, once, within ${window} (${level.routes.join(", ")})`,
		...alignColumns([headings, ...rows]),
		...renderHiddenCount(members.length - shown.length)
	]
}

const headings = [
	"Member",
	"state",
	"good",
	"bad",
	"share",
	"5 min",
	"1 h",
	"30 min",
	"6 h",
	"budget left",
	"budget lasts",
	"leading cause"
]

function renderHiddenCount(count: number): string[] {
	return count === 0 ? [] : [`  Members not shown: ${count}`]
}

function alignColumns(rows: string[][]): string[] {
	const widths = headings.map((_, column) =>
		Math.max(...rows.map(row => row[column]?.length ?? 0))
	)
	return rows.map(row => {
		const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
		return `  ${cells.join(columnGap).trimEnd()}`
	})
}
