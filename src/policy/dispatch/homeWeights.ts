/**
 * Weights by which engines are homes of adapters: a faster engine is the home of
 * more. A weight is a step of the lasting speed against the mean of all engines and
 * changes only when the speed has clearly left its step, because every change moves
 * homes, and then adapters are loaded again.
 */

/** Steps in which the speed doubles. */
const stepsPerDoubling = 2
/** Part of a step by which the speed must be off before the weight changes. */
const hysteresisSteps = 0.75
/** Farthest step from the mean: a quarter of the speed, or four times. */
const maxStep = 4

export class HomeWeights {
	private readonly steps = new Map<string, number>()
	private readonly speeds = new Map<string, number>()
	private sum = 0

	/** Sets the lasting speed of an engine; 0 if it is unknown. */
	setSpeed(id: string, speed: number): void {
		const known = this.speeds.get(id) ?? 0
		if (speed <= 0 || Math.abs(speed - known) < known * 0.02) return
		this.sum += speed - known
		this.speeds.set(id, speed)
		const mean = this.sum / this.speeds.size
		const exact = Math.log2(speed / mean) * stepsPerDoubling
		const step = this.steps.get(id) ?? 0
		if (Math.abs(exact - step) <= hysteresisSteps) return
		const next = Math.min(maxStep, Math.max(-maxStep, Math.round(exact)))
		this.steps.set(id, next)
	}

	/** 1 for an engine of about the mean or an unknown speed. */
	get(id: string): number {
		return 2 ** ((this.steps.get(id) ?? 0) / stepsPerDoubling)
	}

	delete(id: string): void {
		this.sum -= this.speeds.get(id) ?? 0
		this.speeds.delete(id)
		this.steps.delete(id)
	}
}
