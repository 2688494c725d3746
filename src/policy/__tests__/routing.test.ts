import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {LeastLoadedRouter, StaticHashRouter} from "../baselines/index.js"
import {rankByRendezvous} from "../rendezvous.js"
import {ResidencyRouter} from "../residencyRouter.js"
import type {EndpointView, RouteQuery, Router} from "../router.js"
import {RequestClass} from "../types.js"

const seed = 20_261_203

function createView(
	id: string,
	view: Partial<EndpointView> = {}
): EndpointView {
	return {
		id,
		failureDomain: "x",
		admitting: true,
		workers: 1,
		seats: 8,
		slots: 8,
		resident: new Set(),
		loading: new Set(),
		running: 0,
		queued: 0,
		ownUnreported: 0,
		loadMs: 250,
		...view
	}
}

function choose(
	router: Router,
	views: EndpointView[],
	options: {random?: number; now?: number; query?: Partial<RouteQuery>} = {}
): string[] {
	const query = {
		adapter: "a",
		class: RequestClass.Interactive,
		member: "m",
		deadline: 10_000,
		prefixHash: 0,
		excluded: new Set<string>(),
		failureDomain: "entry",
		...options.query
	}
	return router.choose(query, views, options.now ?? 0, options.random ?? 0.5)
}

const ids = Array.from({length: 20}, (_, index) => `host-${index}`)

describe("rankByRendezvous", () => {
	it(`moves only the keys of an item that leaves (seed ${seed})`, () => {
		const property = fc.property(fc.string(), fc.nat(19), (key, gone) => {
			const items = ids.map(id => ({id, weight: 1}))
			const ranked = rankByRendezvous(key, items)
			const left = items.filter((_, index) => index !== gone)
			const expected = ranked.filter(id => id !== `host-${gone}`)
			expect(rankByRendezvous(key, left)).toEqual(expected)
		})
		fc.assert(property, {seed})
	})

	it("gives each item keys in proportion to its weight", () => {
		const items = [
			{id: "one", weight: 1},
			{id: "three", weight: 3}
		]
		let first = 0
		for (let key = 0; key < 4000; key++) {
			if (rankByRendezvous(`key-${key}`, items)[0] === "three") first += 1
		}
		expect(first / 4000).toBeGreaterThan(0.72)
		expect(first / 4000).toBeLessThan(0.78)
	})
})

describe("ResidencyRouter", () => {
	const homeOf = (): string => {
		const views = ids.map(id => createView(id))
		return choose(new ResidencyRouter(), views)[0] ?? ""
	}

	it("prefers where the adapter is resident, then where it loads", () => {
		const views = ids.map(id => createView(id))
		views[3] = createView("host-3", {resident: new Set(["a"])})
		views[5] = createView("host-5", {loading: new Set(["a"])})
		const chosen = choose(new ResidencyRouter(), views)
		expect(chosen.slice(0, 2)).toEqual(["host-3", "host-5"])
	})

	it("has a stable home for an adapter that is nowhere", () => {
		for (const random of [0, 0.3, 0.9]) {
			const views = ids.map(id => createView(id))
			expect(choose(new ResidencyRouter(), views, {random})[0]).toBe(homeOf())
		}
	})

	it("spills when the wait exceeds the cost of a load", () => {
		const resident = new Set(["a"])
		const views = ids.map(id => createView(id))
		const busy = {resident, running: 8, queued: 12}
		views[3] = createView("host-3", busy)
		expect(choose(new ResidencyRouter(), views)[0]).not.toBe("host-3")
		views[3] = createView("host-3", {...busy, queued: 0})
		expect(choose(new ResidencyRouter(), views)[0]).toBe("host-3")
	})

	it("counts its own requests that no report shows", () => {
		const resident = new Set(["a"])
		const views = ids.map(id => createView(id))
		views[3] = createView("host-3", {resident, ownUnreported: 30})
		expect(choose(new ResidencyRouter(), views)[0]).not.toBe("host-3")
	})

	it("joins its own recent choice before a report shows the load", () => {
		const router = new ResidencyRouter()
		const views = ids.map(id => createView(id))
		const excluded = new Set([homeOf()])
		const [other] = choose(router, views, {query: {excluded}})
		expect(choose(router, views, {now: 100})[0]).toBe(other)
	})

	it("leaves out what doesn't admit or was tried", () => {
		const views = [
			createView("leaving", {admitting: false, resident: new Set(["a"])}),
			createView("tried", {resident: new Set(["a"])}),
			createView("other")
		]
		const excluded = new Set(["tried"])
		const chosen = choose(new ResidencyRouter(), views, {query: {excluded}})
		expect(chosen).toEqual(["other"])
	})

	it("spreads equal choices by chance, near ones first", () => {
		const resident = new Set(["a"])
		const views = ids.map(id => createView(id, {resident}))
		const chosen = new Set<string | undefined>()
		for (let index = 0; index < 200; index++) {
			const random = index / 200
			chosen.add(choose(new ResidencyRouter(), views, {random})[0])
		}
		expect(chosen.size).toBeGreaterThan(12)
	})

	it("sends calls without an adapter to the least loaded", () => {
		const views = [
			createView("busy", {running: 8, queued: 8}),
			createView("idle"),
			createView("half", {running: 4})
		]
		const query = {adapter: ""}
		const chosen = choose(new ResidencyRouter(), views, {query})
		expect(chosen).toEqual(["idle", "half", "busy"])
	})
})

describe("baseline routers", () => {
	it("choose by load alone, and by adapter alone", () => {
		const views = [
			createView("busy", {running: 8, resident: new Set(["a"])}),
			createView("idle")
		]
		expect(choose(new LeastLoadedRouter(), views)[0]).toBe("idle")
		const [fixed] = choose(new StaticHashRouter(), views)
		const loaded = views.map(view => createView(view.id, {queued: 50}))
		expect(choose(new StaticHashRouter(), loaded)[0]).toBe(fixed)
	})
})
