/** Inline SVG plots of the burn report. */
import {type BurnCause, burnCauses} from "../policy/burn.js"
import {
	computeBurnRate,
	fastBurnThreshold,
	slowBurnThreshold
} from "../policy/burnAlerts.js"
import {formatClock, formatRate} from "./format.js"
import type {BurnPoint} from "./readBurn.js"

export const causeColors: Record<BurnCause, string> = {
	loadStall: "#c2571a",
	queue: "#b8960c",
	refused: "#5b6abf",
	endpointError: "#b3261e",
	unknown: "#6b6b6b"
}

const widthPx = 760
const heightPx = 190
const leftPx = 46
const rightPx = 84
const topPx = 12
const bottomPx = 24
const plotWidthPx = widthPx - leftPx - rightPx
const plotHeightPx = heightPx - topPx - bottomPx
const labelEvery = 12
/** Kept above the slow threshold, so that a quiet plot looks quiet. */
const minScale = slowBurnThreshold * 1.25

/** Burn rate of each five minutes, with both alert thresholds. */
export function plotBurnRate(points: BurnPoint[], target: number): string {
	const rates = points.map(point => computeBurnRate(point, target))
	const scale = Math.max(minScale, ...rates)
	const path = rates
		.map((rate, index) => `${xOf(index, rates.length)},${yOf(rate, scale)}`)
		.join(" ")
	return svg("Burn rate over the last six hours", [
		drawAxes(points, scale, formatRate),
		drawThreshold("ticket", slowBurnThreshold, scale),
		drawThreshold("page", fastBurnThreshold, scale),
		`<polyline class="rate" points="${path}"/>`
	])
}

/** Bad requests of each five minutes, stacked by cause. */
export function plotCauses(points: BurnPoint[]): string {
	const scale = Math.max(1, ...points.map(point => point.bad))
	const bars = points.map((point, index) =>
		drawBar(point, xOf(index, points.length), scale)
	)
	return svg("Bad requests by cause over the last six hours", [
		drawAxes(points, scale, count => count.toFixed(0)),
		...bars
	])
}

function svg(label: string, parts: string[]): string {
	const box = `viewBox="0 0 ${widthPx} ${heightPx}"`
	return `<svg ${box} role="img" aria-label="${label}">${parts.join("")}</svg>`
}

function xOf(index: number, count: number): string {
	const share = count <= 1 ? 0 : index / (count - 1)
	return (leftPx + share * plotWidthPx).toFixed(1)
}

function yOf(value: number, scale: number): string {
	const share = Math.min(1, value / scale)
	return (topPx + (1 - share) * plotHeightPx).toFixed(1)
}

function drawAxes(
	points: BurnPoint[],
	scale: number,
	format: (value: number) => string
): string {
	const marks = [0, scale / 2, scale].map(value => {
		const y = yOf(value, scale)
		const text = `<text x="${leftPx - 6}" y="${y}" dy="4" text-anchor="end">${format(value)}</text>`
		return `${drawLine("grid", y)}${text}`
	})
	const times = points.map((point, index) => {
		const isLabelled = (points.length - 1 - index) % labelEvery === 0
		if (!isLabelled) return ""
		const x = xOf(index, points.length)
		return `<text x="${x}" y="${heightPx - 6}" text-anchor="middle">${formatClock(point.at)}</text>`
	})
	return marks.join("") + times.join("")
}

function drawThreshold(name: string, value: number, scale: number): string {
	if (value > scale) return ""
	const y = yOf(value, scale)
	const x = widthPx - rightPx + 6
	const label = `<text x="${x}" y="${y}" dy="4">${name} at ${value}</text>`
	return `${drawLine(`threshold ${name}`, y)}${label}`
}

function drawLine(className: string, y: string): string {
	return `<line class="${className}" x1="${leftPx}" x2="${widthPx - rightPx}" y1="${y}" y2="${y}"/>`
}

const barWidthPx = 6

function drawBar(point: BurnPoint, x: string, scale: number): string {
	let below = 0
	const left = Number(x) - barWidthPx / 2
	const parts = burnCauses.map(cause => {
		const count = point.causes[cause] ?? 0
		if (count === 0) return ""
		const top = yOf(below + count, scale)
		const height = (Number(yOf(below, scale)) - Number(top)).toFixed(1)
		below += count
		const title = `<title>${formatClock(point.at)} ${cause}: ${count}</title>`
		return `<rect x="${left}" y="${top}" width="${barWidthPx}" height="${height}" fill="${causeColors[cause]}">${title}</rect>`
	})
	return parts.join("")
}
