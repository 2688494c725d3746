import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {type BuildRecord, BuildRecordPlan, unseenBuild} from "../index.js"

const forgetAfterMs = 100
const absent: BuildRecord = {builds: [], era: 0, revision: 0}
const era = 1

function createPlan(isFirstStart = false): BuildRecordPlan {
	return new BuildRecordPlan({forgetAfterMs, isFirstStart})
}

describe("the record of a pool's builds", () => {
	it("is not written before it has been read", () => {
		const plan = createPlan()
		plan.observe(new Set(["v1"]), 0)
		expect(plan.plan(era, 0)).toBeUndefined()
		expect(plan.isSole("v1", era)).toBe(false)
	})

	it("holds the only build there ever was since the first start", () => {
		const plan = createPlan(true)
		plan.applyRead(absent, 0)
		plan.observe(new Set(["v1"]), 0)
		expect(plan.plan(era, 0)).toEqual(["v1"])
		plan.applyWritten({builds: ["v1"], era, revision: 1})
		expect(plan.plan(era, 1)).toBeUndefined()
		expect(plan.isSole("v1", era)).toBe(true)
	})

	it("counts a build that left before a gateway started", () => {
		const plan = createPlan()
		plan.applyRead({builds: ["v1", "v2"], era, revision: 4}, 0)
		plan.observe(new Set(["v2"]), 0)
		expect(plan.plan(era, 50)).toBeUndefined()
		expect(plan.isSole("v2", era)).toBe(false)
		plan.observe(new Set(["v2"]), forgetAfterMs)
		expect(plan.plan(era, forgetAfterMs)).toEqual(["v2"])
	})

	it("keeps what another gateway wrote meanwhile", () => {
		const plan = createPlan()
		plan.applyRead({builds: ["v1"], era, revision: 4}, 0)
		plan.observe(new Set(["v1"]), 0)
		// A write of this gateway met a conflict, so that it read again.
		plan.applyRead({builds: ["v1", "v2"], era, revision: 5}, 50)
		expect(plan.plan(era, 120)).toBeUndefined()
		expect(plan.isSole("v1", era)).toBe(false)
	})

	it("counts unseen builds where it is absent or from before a copy", () => {
		for (const record of [absent, {builds: ["v1"], era: 0, revision: 4}]) {
			const plan = createPlan()
			plan.applyRead(record, 0)
			expect(plan.isSole("v1", era)).toBe(false)
			plan.observe(new Set(["v1"]), 0)
			expect(plan.plan(era, 0)).toEqual([unseenBuild, "v1"])
			plan.applyWritten({builds: [unseenBuild, "v1"], era, revision: 5})
			plan.observe(new Set(["v1"]), forgetAfterMs)
			expect(plan.plan(era, forgetAfterMs)).toEqual(["v1"])
		}
	})

	// Guards against a record that a conflict brought, which lacks a build seen since.
	it("counts a build that it has seen and the record lacks", () => {
		const plan = createPlan()
		plan.applyRead({builds: ["v1"], era, revision: 4}, 0)
		plan.observe(new Set(["v2"]), 10)
		plan.applyRead({builds: ["v1"], era, revision: 5}, 10)
		expect(plan.isSole("v1", era)).toBe(false)
		plan.observe(new Set(["v1"]), 10 + forgetAfterMs)
		plan.plan(era, 10 + forgetAfterMs)
		expect(plan.isSole("v1", era)).toBe(true)
	})

	it("never shows a restarted gateway one build while streams of two may go on", () => {
		const step = fc.record({
			present: fc.subarray(["v1", "v2", "v3"], {minLength: 1}),
			spanMs: fc.integer({min: 1, max: 2 * forgetAfterMs}),
			restarts: fc.boolean()
		})
		const intervalMs = 10
		fc.assert(
			fc.property(fc.array(step, {maxLength: 12}), steps => {
				let stored = absent
				let gateways: BuildRecordPlan[] = []
				const start = (isFirstStart: boolean, now: number): void => {
					gateways = [createPlan(isFirstStart), createPlan(isFirstStart)]
					for (const gateway of gateways) gateway.applyRead(stored, now)
				}
				start(true, 0)
				const servedAt = new Map<string, number>()
				let now = 0
				for (const {present, spanMs, restarts} of steps) {
					if (restarts) start(false, now)
					for (const endAt = now + spanMs; now < endAt; now += intervalMs) {
						for (const gateway of gateways) {
							for (const [build] of servedAt) {
								const mayResume = [...servedAt].some(
									([other, at]) => other !== build && now - at < forgetAfterMs
								)
								if (mayResume) expect(gateway.isSole(build, era)).toBe(false)
							}
							gateway.observe(new Set(present), now)
							const builds = gateway.plan(era, now)
							if (builds === undefined) continue
							if (gateway.revision === stored.revision) {
								stored = {builds, era, revision: stored.revision + 1}
								gateway.applyWritten(stored)
							} else gateway.applyRead(stored, now)
						}
						for (const build of present) servedAt.set(build, now)
					}
				}
			})
		)
	})
})
