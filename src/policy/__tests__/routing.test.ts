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
		unreportedOwnRequests: 0,
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
	it(`keeps the order of others when an item is removed (seed ${seed})`, () => {
		const property = fc.property(fc.string(), fc.nat(19), (key, removed) => {
			const items = ids.map(id => ({id, weight: 1}))
			const ranked = rankByRendezvous(key, items)
			const remaining = items.filter((_, index) => index !== removed)
			const expected = ranked.filter(id => id !== `host-${removed}`)
			expect(rankByRendezvous(key, remaining)).toEqual(expected)
		})
		fc.assert(property, {seed})
	})

	it("assigns keys to items in proportion to their weights", () => {
		const items = [
			{id: "one", weight: 1},
			{id: "three", weight: 3}
		]
		let count = 0
		for (let key = 0; key < 4000; key++) {
			if (rankByRendezvous(`key-${key}`, items)[0] === "three") count += 1
		}
		expect(count / 4000).toBeGreaterThan(0.72)
		expect(count / 4000).toBeLessThan(0.78)
	})
})

describe("ResidencyRouter", () => {
	const findHome = (): string => {
		const views = ids.map(id => createView(id))
		return choose(new ResidencyRouter(), views)[0] ?? ""
	}

	it("prefers a process with the adapter resident, then one loading it", () => {
		const views = ids.map(id => createView(id))
		views[3] = createView("host-3", {resident: new Set(["a"])})
		views[5] = createView("host-5", {loading: new Set(["a"])})
		const chosen = choose(new ResidencyRouter(), views)
		expect(chosen.slice(0, 2)).toEqual(["host-3", "host-5"])
	})

	it("chooses the same home for an adapter that is not loaded anywhere", () => {
		for (const random of [0, 0.3, 0.9]) {
			const views = ids.map(id => createView(id))
			expect(choose(new ResidencyRouter(), views, {random})[0]).toBe(findHome())
		}
	})

	it("chooses another process when the wait exceeds the cost of a load", () => {
		const resident = new Set(["a"])
		const views = ids.map(id => createView(id))
		const busy = {resident, running: 8, queued: 12}
		views[3] = createView("host-3", busy)
		expect(choose(new ResidencyRouter(), views)[0]).not.toBe("host-3")
		views[3] = createView("host-3", {...busy, queued: 0})
		expect(choose(new ResidencyRouter(), views)[0]).toBe("host-3")
	})

	it("counts own requests that are not in a report yet", () => {
		const resident = new Set(["a"])
		const views = ids.map(id => createView(id))
		views[3] = createView("host-3", {resident, unreportedOwnRequests: 30})
		expect(choose(new ResidencyRouter(), views)[0]).not.toBe("host-3")
	})

	it("repeats its recent choice before a report shows the load", () => {
		const router = new ResidencyRouter()
		const views = ids.map(id => createView(id))
		const excluded = new Set([findHome()])
		const [secondHome] = choose(router, views, {query: {excluded}})
		expect(choose(router, views, {now: 100})[0]).toBe(secondHome)
	})

	it("leaves out processes that do not admit or were tried", () => {
		const views = [
			createView("leaving", {admitting: false, resident: new Set(["a"])}),
			createView("tried", {resident: new Set(["a"])}),
			createView("other")
		]
		const excluded = new Set(["tried"])
		const chosen = choose(new ResidencyRouter(), views, {query: {excluded}})
		expect(chosen).toEqual(["other"])
	})

	it("distributes requests randomly over candidates of equal cost", () => {
		const resident = new Set(["a"])
		const views = ids.map(id => createView(id, {resident}))
		const chosen = new Set<string | undefined>()
		for (let index = 0; index < 200; index++) {
			const random = index / 200
			chosen.add(choose(new ResidencyRouter(), views, {random})[0])
		}
		expect(chosen.size).toBeGreaterThan(12)
	})

	it("ranks processes by load for calls without an adapter", () => {
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
	it("rank by load alone (least loaded) or by hash alone (static)", () => {
		const views = [
			createView("busy", {running: 8, resident: new Set(["a"])}),
			createView("idle")
		]
		expect(choose(new LeastLoadedRouter(), views)[0]).toBe("idle")
		const [chosenByHash] = choose(new StaticHashRouter(), views)
		const loaded = views.map(view => createView(view.id, {queued: 50}))
		expect(choose(new StaticHashRouter(), loaded)[0]).toBe(chosenByHash)
	})
})
