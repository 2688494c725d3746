import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {Departures, Standing} from "../departures.js"
import {compareRevisions, toOrdinal} from "../storeRevision.js"

const revision = fc.record({era: fc.nat(20), revision: fc.nat(1_000_000)})

describe("store revisions", () => {
	it("are ordered by era first", () => {
		const old = {era: 1, revision: 900}
		const fresh = {era: 2, revision: 3}
		expect(compareRevisions(old, fresh)).toBeLessThan(0)
		expect(compareRevisions(fresh, fresh)).toBe(0)
	})

	it("have ordinals in the same order", () => {
		fc.assert(
			fc.property(revision, revision, (a, b) => {
				const order = Math.sign(compareRevisions(a, b))
				expect(Math.sign(toOrdinal(a) - toOrdinal(b))).toBe(order)
			})
		)
	})
})

/**
 * A store that goes back to copies, and a host whose agent restarts and takes a
 * fence at each start by a conditional write.
 */
type StoreStep = "write" | "copy" | "goBack" | "acquire"
const storeStep = fc.constantFrom<StoreStep>(
	"write",
	"copy",
	"goBack",
	"acquire"
)

describe("fences from era and revision", () => {
	it("rise through every return of the store to a copy", () => {
		fc.assert(
			fc.property(fc.array(storeStep, {maxLength: 80}), steps => {
				const store = {era: 1, revision: 1}
				let copiedRevision = 1
				const fences: number[] = []
				for (const step of steps) {
					if (step === "copy") copiedRevision = store.revision
					else if (step === "goBack") {
						store.era += 1
						store.revision = copiedRevision
					} else {
						store.revision += 1
						if (step === "acquire") fences.push(toOrdinal(store))
					}
				}
				const sorted = [...new Set(fences)].sort((a, b) => a - b)
				expect(fences).toEqual(sorted)
			})
		)
	})
})

const endpoint = {id: "i-1", bornAt: 5}

describe("Departures", () => {
	it("takes a registration older than the removal for outdated", () => {
		const departures = new Departures()
		departures.addRemoval({...endpoint, era: 1, revision: 9})
		expect(departures.judge({...endpoint, era: 1, revision: 8})).toBe(
			Standing.Outdated
		)
		expect(departures.judge({...endpoint, era: 1, revision: 10})).toBe(
			Standing.Registered
		)
	})

	it("withholds a removed endpoint that a copy of the store lists", () => {
		const departures = new Departures()
		departures.addRemoval({...endpoint, era: 1, revision: 9})
		const copied = {...endpoint, era: 2, revision: 4}
		expect(departures.judge(copied)).toBe(Standing.Withheld)
		const reborn = {...copied, bornAt: 6}
		expect(departures.judge(reborn)).toBe(Standing.Registered)
	})

	it("keeps a drain of an earlier era", () => {
		const departures = new Departures()
		departures.addDrain({...endpoint, era: 1, revision: 9})
		const copied = {...endpoint, era: 2, revision: 4}
		expect(departures.judge(copied)).toBe(Standing.Leaving)
		expect(departures.judge({...copied, bornAt: 6})).toBe(Standing.Registered)
	})

	it("never readmits an incarnation that left, for any order of updates", () => {
		const update = fc.record({
			era: fc.integer({min: 1, max: 4}),
			revision: fc.nat(50)
		})
		fc.assert(
			fc.property(update, fc.array(update), (left, updates) => {
				const departures = new Departures()
				departures.addDrain({...endpoint, ...left})
				for (const at of updates) {
					const standing = departures.judge({...endpoint, ...at})
					if (at.era > left.era) expect(standing).toBe(Standing.Leaving)
				}
				departures.addStatement(endpoint.id, endpoint.bornAt)
				for (const at of updates) {
					expect(departures.judge({...endpoint, ...at})).toBe(Standing.Leaving)
				}
			})
		)
	})
})
