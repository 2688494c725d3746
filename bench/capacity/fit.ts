/** Linear regression over measured points. */

export interface Point {
	x: number
	y: number
}

/** `y = intercept + slope * x`, by least squares. */
export interface Line {
	slope: number
	intercept: number
	/** Largest `|y - line(x)| / |y|` of all points. */
	maxResidual: number
}

/** @throws RangeError when the points have fewer than two distinct x */
export function fitLine(points: readonly Point[]): Line {
	const meanX = mean(points.map(({x}) => x))
	const meanY = mean(points.map(({y}) => y))
	const squaredDeviations = sum(points.map(({x}) => (x - meanX) ** 2))
	if (points.length < 2 || squaredDeviations === 0) {
		throw new RangeError(
			"cannot fit a line through fewer than two points with distinct x"
		)
	}
	const slope =
		sum(points.map(({x, y}) => (x - meanX) * (y - meanY))) / squaredDeviations
	const intercept = meanY - slope * meanX
	const residuals = points.map(({x, y}) => {
		return Math.abs(y - intercept - slope * x) / Math.abs(y)
	})
	return {slope, intercept, maxResidual: Math.max(...residuals)}
}

export function evaluate({slope, intercept}: Line, x: number): number {
	return intercept + slope * x
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0)
}

function mean(values: readonly number[]): number {
	return sum(values) / Math.max(1, values.length)
}
