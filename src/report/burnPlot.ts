/** Renders the plots of the burn report as inline SVG. */
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
const pointsPerTimeLabel = 12
/**
 * Minimum upper end of the burn rate axis. Above the slow threshold, so that low
 * rates plot low instead of filling the height.
 */
const minRateScale = slowBurnThreshold * 1.25

/** Plots the burn rate of each five minutes, with both alert thresholds. */
export function plotBurnRate(points: BurnPoint[], target: number): string {
	const rates = points.map(point => computeBurnRate(point, target))
	const scale = Math.max(minRateScale, ...rates)
	const path = rates
		.map(
			(rate, index) => `${formatX(index, rates.length)},${formatY(rate, scale)}`
		)
		.join(" ")
	return wrapSvg("Burn rate over the last six hours", [
		drawAxes(points, scale, formatRate),
		drawThreshold("ticket", slowBurnThreshold, scale),
		drawThreshold("page", fastBurnThreshold, scale),
		`<polyline class="rate" points="${path}"/>`
	])
}

/** Plots the bad requests of each five minutes as bars stacked by cause. */
export function plotCauses(points: BurnPoint[]): string {
	const scale = Math.max(1, ...points.map(point => point.bad))
	const bars = points.map((point, index) =>
		drawBar(point, formatX(index, points.length), scale)
	)
	return wrapSvg("Bad requests by cause over the last six hours", [
		drawAxes(points, scale, count => count.toFixed(0)),
		...bars
	])
}

function wrapSvg(label: string, parts: string[]): string {
	const box = `viewBox="0 0 ${widthPx} ${heightPx}"`
	return `<svg ${box} role="img" aria-label="${label}">${parts.join("")}</svg>`
}

function formatX(index: number, count: number): string {
	const share = count <= 1 ? 0 : index / (count - 1)
	return (leftPx + share * plotWidthPx).toFixed(1)
}

function formatY(value: number, scale: number): string {
	const share = Math.min(1, value / scale)
	return (topPx + (1 - share) * plotHeightPx).toFixed(1)
}

function drawAxes(
	points: BurnPoint[],
	scale: number,
	format: (value: number) => string
): string {
	const marks = [0, scale / 2, scale].map(value => {
		const y = formatY(value, scale)
		const text = `<text x="${leftPx - 6}" y="${y}" dy="4" text-anchor="end">${format(value)}</text>`
		return `${drawLine("grid", y)}${text}`
	})
	const times = points.map((point, index) => {
		const isLabelled = (points.length - 1 - index) % pointsPerTimeLabel === 0
		if (!isLabelled) return ""
		const x = formatX(index, points.length)
		return `<text x="${x}" y="${heightPx - 6}" text-anchor="middle">${formatClock(point.at)}</text>`
	})
	return marks.join("") + times.join("")
}

function drawThreshold(name: string, value: number, scale: number): string {
	if (value > scale) return ""
	const y = formatY(value, scale)
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
		const top = formatY(below + count, scale)
		const height = (Number(formatY(below, scale)) - Number(top)).toFixed(1)
		below += count
		const title = `<title>${formatClock(point.at)} ${cause}: ${count}</title>`
		return `<rect x="${left}" y="${top}" width="${barWidthPx}" height="${height}" fill="${causeColors[cause]}">${title}</rect>`
	})
	return parts.join("")
}
