import {beforeEach, describe, expect, it} from "vitest"
import {EnginePool} from "../enginePool.js"

const reuseAfterMs = 2000

let enginePool: EnginePool

/** The engine responds; it was asked 10 ms before. */
function see(id: string, bornAt: number, now: number): void {
	enginePool.recordEngine({id, bornAt, askedAt: now - 10, now})
}

beforeEach(() => {
	enginePool = new EnginePool({pool: "writers", reuseAfterMs})
	see("i-1", 1, 1000)
})

// Guards against requests of one pool at an engine of another one, which has the address
// of an engine that is gone.
describe("the pool of an agent's engine", () => {
	it("is that of the settings", () => {
		expect(enginePool.name).toBe("writers")
		expect(enginePool.isForeign("writers")).toBe(false)
		expect(enginePool.isForeign("readers")).toBe(true)
	})

	it("stays after a restart sooner than the address can be used again", () => {
		see("i-2", 2, 2900)
		expect(enginePool.name).toBe("writers")
	})

	it("stays after a restart under the same id, however late", () => {
		see("i-1", 2, 60_000)
		expect(enginePool.name).toBe("writers")
	})

	it("is unknown if another engine is seen after that time", () => {
		see("i-2", 2, 3000)
		expect(enginePool.name).toBeUndefined()
		expect(enginePool.mayBeReplaced).toBe(true)
		expect(enginePool.isForeign("writers")).toBe(true)
	})

	it("is unknown also if the other engine's id is found out late", () => {
		see("i-1", 2, 3000)
		see("i-1", 2, 3500)
		see("i-2", 2, 3600)
		expect(enginePool.mayBeReplaced).toBe(true)
	})

	it("is that of the registration, whether it comes before the engine or after", () => {
		enginePool.recordRegistration("i-2", "readers")
		expect(enginePool.name).toBe("writers")
		see("i-2", 2, 3000)
		expect(enginePool.name).toBe("readers")
		see("i-3", 3, 6000)
		expect(enginePool.name).toBeUndefined()
		enginePool.recordRegistration("i-3", "writers")
		expect(enginePool.name).toBe("writers")
	})

	it("stays that of the registration after a quick restart", () => {
		enginePool.recordRegistration("i-1", "readers")
		see("i-2", 2, 1500)
		expect(enginePool.name).toBe("readers")
	})

	it("is not in doubt once a gateway that states no pool knows the engine", () => {
		see("i-2", 2, 3000)
		enginePool.recordRegistration("i-1", "writers")
		expect(enginePool.mayBeReplaced).toBe(true)
		enginePool.recordRegistration("i-2", "")
		expect(enginePool.mayBeReplaced).toBe(false)
	})
})
