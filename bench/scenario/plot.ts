/** A plain SVG plot of calls and answers by second of arrival. */
import type {SecondCounts} from "../load/index.js"
import type {ScenarioResult} from "./runScenario.js"

const widthPx = 800
const heightPx = 260
const marginPx = 40
const smoothingSeconds = 3

export function plotResult(result: ScenarioResult): string {
	const {perSecond, warmupSeconds, faults} = result
	const calls = smooth(perSecond.map(one => one.calls))
	const answered = smooth(perSecond.map(one => one.answered))
	const scale = Math.max(1, ...calls)
	const title = `${result.deployment} ${result.scenario}, policy ${result.policy}, seed ${result.seed}`
	const parts = [
		`<rect width="${widthPx}" height="${heightPx}" fill="#fff"/>`,
		drawText(marginPx, 18, title),
		drawText(marginPx, 34, "calls a second (grey), answered (blue)"),
		drawMark(warmupSeconds, perSecond, "measured from here"),
		...faults.map(({atSecond, text}) => drawMark(atSecond, perSecond, text)),
		drawLine(calls, scale, "#999"),
		drawLine(answered, scale, "#1f4e8c"),
		drawText(4, yOf(scale, scale), scale.toFixed(0)),
		drawText(4, yOf(0, scale), "0"),
		drawText(widthPx - marginPx, heightPx - 10, `${perSecond.length} s`)
	]
	return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${widthPx} ${heightPx}" font-family="sans-serif" font-size="11">${parts.join("")}</svg>\n`
}

function smooth(values: number[]): number[] {
	return values.map((_, index) => {
		const part = values.slice(
			Math.max(0, index - smoothingSeconds + 1),
			index + 1
		)
		return part.reduce((sum, value) => sum + value, 0) / part.length
	})
}

function xOf(second: number, count: number): number {
	return marginPx + (second / Math.max(1, count)) * (widthPx - 2 * marginPx)
}

function yOf(value: number, scale: number): number {
	const height = heightPx - 2 * marginPx
	return heightPx - marginPx - (value / scale) * height
}

function drawLine(values: number[], scale: number, color: string): string {
	const points = values.map((value, index) => {
		const x = xOf(index, values.length).toFixed(1)
		return `${x},${yOf(value, scale).toFixed(1)}`
	})
	return `<polyline fill="none" stroke="${color}" stroke-width="1.5" points="${points.join(" ")}"/>`
}

function drawMark(
	second: number,
	perSecond: SecondCounts[],
	text: string
): string {
	const x = xOf(second, perSecond.length).toFixed(1)
	const line = `<line x1="${x}" x2="${x}" y1="${marginPx}" y2="${heightPx - marginPx}" stroke="#c2571a" stroke-dasharray="3 3"/>`
	return line + drawText(Number(x) + 3, heightPx - marginPx + 14, text)
}

function drawText(x: number, y: number, text: string): string {
	return `<text x="${x}" y="${y.toFixed(0)}">${text}</text>`
}
