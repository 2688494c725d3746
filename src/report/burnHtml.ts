/** Renders the burn report as one HTML page that loads no other resources. */
import {burnCauses} from "../policy/burn.js"
import {AlertSeverity, type BurnAssessment} from "../policy/burnAlerts.js"
import {formatCells} from "./burnRow.js"
import {causeColors, plotBurnRate, plotCauses} from "./burnPlot.js"
import {
	formatExhaustion,
	formatGoodShare,
	formatPercent,
	formatSeverity,
	formatTime
} from "./format.js"
import type {BurnReport, LevelReport} from "./readBurn.js"

const maxMembersShown = 25

export function renderBurnHtml(report: BurnReport): string {
	const title = `Service-level burn of ${escapeHtml(report.deployment)}`
	const levels = report.levels.map(level => renderLevel(level, report.at))
	const warning =
		report.skipped === 0
			? ""
			: `<p class="page">${report.skipped} stored objects could not be parsed and are not counted.</p>`
	return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${title}</title>
<style>${style}</style>
</head>
<body>
<h1>${title}</h1>
<p>${formatTime(report.at)}, last 24 hours, counts from ${report.recorders} entry processes (a restart is another process). A burn rate of 1 spends the error budget in exactly 24 hours.</p>
${warning}
${levels.join("\n")}
</body>
</html>
`
}

function renderLevel(report: LevelReport, at: number): string {
	const {level, total, members, points} = report
	const target = formatPercent(level.target, 2)
	const seconds = level.windowMs / 1000
	const failing = members.filter(assessment => assessment.bad > 0)
	const rows = [total, ...failing.slice(0, maxMembersShown)]
	return `<section>
<h2>${escapeHtml(level.name)} <span class="${total.severity}">${formatSeverity(total.severity)}</span></h2>
<p>Target: ${target} of requests answered completely, once, within ${seconds} s. Routes: ${escapeHtml(level.routes.join(", "))}.</p>
${renderSummary(total, at)}
<h3>Burn rate</h3>
${plotBurnRate(points, level.target)}
<h3>Bad requests by cause</h3>
${plotCauses(points)}
${renderLegend()}
<h3>Members</h3>
${renderTable(rows, at)}
<p>${Math.max(0, failing.length - maxMembersShown)} more Members with bad requests are not shown; ${members.length - failing.length} Members had none.</p>
</section>`
}

function renderSummary(total: BurnAssessment, at: number): string {
	const items = [
		["Good share", formatGoodShare(total)],
		["Bad requests", String(total.bad)],
		["Budget left", formatPercent(total.budgetLeft, 0)],
		["Budget lasts", formatExhaustion(total, at)],
		["Leading cause", total.leadingCause ?? "-"]
	]
	const boxes = items.map(
		([name = "", value = ""]) => `<div><dt>${name}</dt><dd>${value}</dd></div>`
	)
	return `<dl>${boxes.join("")}</dl>`
}

function renderLegend(): string {
	const items = burnCauses.map(
		cause =>
			`<span><i style="background:${causeColors[cause]}"></i>${cause}</span>`
	)
	return `<p class="legend">${items.join(" ")}</p>`
}

const columns = [
	"Member",
	"State",
	"Good",
	"Bad",
	"Share",
	"5 min",
	"1 h",
	"30 min",
	"6 h",
	"Budget left",
	"Budget lasts",
	"Leading cause"
]

function renderTable(rows: BurnAssessment[], at: number): string {
	const head = columns.map(name => `<th>${name}</th>`).join("")
	const body = rows.map(row => renderRow(row, at)).join("")
	return `<div class="scroll"><table><thead><tr>${head}</tr></thead><tbody>${body}</tbody></table></div>`
}

function renderRow(assessment: BurnAssessment, at: number): string {
	const [member = "", ...figures] = formatCells(assessment, at)
	const cells = [escapeHtml(member), ...figures]
	const isAlert = assessment.severity !== AlertSeverity.None
	const open = isAlert ? `<tr class="${assessment.severity}">` : "<tr>"
	return `${open}${cells.map(cell => `<td>${cell}</td>`).join("")}</tr>`
}

export function escapeHtml(text: string): string {
	return text
		.replaceAll("&", "&amp;")
		.replaceAll("<", "&lt;")
		.replaceAll(">", "&gt;")
		.replaceAll('"', "&quot;")
}

const style = `
body{font:15px/1.5 system-ui,sans-serif;max-width:860px;margin:2rem auto;padding:0 1rem;color:#1c1c1c;background:#fff}
h1{font-size:1.5rem}h2{font-size:1.2rem;margin-top:2.5rem;border-top:1px solid #ccc;padding-top:1rem}h3{font-size:1rem;margin:1.2rem 0 .3rem}
h2 span{font-size:.8rem;padding:.1rem .5rem;border-radius:.6rem;background:#dcefe0}
h2 .ticket{background:#fbe8b8}h2 .page{background:#f6c6c2}
dl{display:flex;flex-wrap:wrap;gap:.6rem;margin:1rem 0}dl div{border:1px solid #ddd;border-radius:.4rem;padding:.4rem .8rem}
dt{font-size:.8rem;color:#555}dd{margin:0;font-weight:600}
svg{width:100%;height:auto}svg text{font:11px system-ui,sans-serif;fill:#555}
.grid{stroke:#e2e2e2}.rate{fill:none;stroke:#1f4e8c;stroke-width:1.8}
.threshold{stroke-dasharray:5 4}.threshold.ticket{stroke:#b8960c}.threshold.page{stroke:#b3261e}
.legend span{margin-right:1rem;font-size:.85rem}.legend i{display:inline-block;width:.8em;height:.8em;margin-right:.3em}
.scroll{overflow-x:auto}table{border-collapse:collapse;font-size:.85rem;width:100%}
th,td{text-align:right;padding:.25rem .5rem;border-bottom:1px solid #eee;white-space:nowrap}
th:first-child,td:first-child,th:last-child,td:last-child{text-align:left}
tr.ticket td{background:#fdf5dc}tr.page td{background:#fbe3e1}
`
