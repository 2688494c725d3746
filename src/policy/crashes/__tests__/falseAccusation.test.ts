/** Whom a fleet turns away when engines crash, with and without a part that does it. */
import {describe, expect, it} from "vitest"
import {type FleetLoad, FleetModel} from "./fleetModel.js"

const seeds = Array.from({length: 20}, (_, index) => index + 1)
/** Crashes after which a part has to be known, and time from then on. */
const crashesUntilKnown = 5
const noticeMs = 3000
/** Requests with the part that may reach engines later, in the minute of a run. */
const maxLater = 3

const load: FleetLoad = {
	engines: 13,
	requestsPerSecond: 60,
	callers: 80,
	crashesPerSecond: 0.3,
	enginesPerCrash: 1,
	deadlyShare: 0,
	showsHeads: true,
	isPlain: false,
	sends: 0,
	sameShare: 0
}

function play(changes: Partial<FleetLoad>): FleetModel[] {
	return seeds.map(seed => {
		const model = new FleetModel({...load, ...changes}, seed)
		model.run()
		return model
	})
}

const kinds: [string, Partial<FleetLoad>][] = [
	["single engines", {}],
	["many crashes", {crashesPerSecond: 1}],
	["racks", {enginesPerCrash: 4}],
	["few engines", {engines: 3, requestsPerSecond: 20}],
	["many callers", {callers: 3000}],
	["answers without heads", {crashesPerSecond: 1, showsHeads: false}]
]

describe("crashes for other causes", () => {
	it.each(kinds)("have nobody turned away: %s", (_, changes) => {
		const turnedAway = play(changes).map(model => model.turnedAway)
		expect(turnedAway).toEqual(seeds.map(() => 0))
	})
})

const oftenDeadly: [string, Partial<FleetLoad>][] = [
	["a fifth of the requests", {deadlyShare: 0.2}],
	["a fifth, without heads", {deadlyShare: 0.2, showsHeads: false}],
	[
		"a fifth, without heads, at three engines",
		{
			deadlyShare: 0.2,
			showsHeads: false,
			engines: 3,
			requestsPerSecond: 40,
			crashesPerSecond: 0
		}
	],
	[
		"half of them, at three engines",
		{
			deadlyShare: 0.5,
			engines: 3,
			requestsPerSecond: 40,
			crashesPerSecond: 0
		}
	]
]

describe("a part that crashes engines", () => {
	it.each([...kinds, ...oftenDeadly])(
		"reaches few once it is known, beside: %s",
		(_, changes) => {
			for (const model of play({deadlyShare: 0.04, ...changes})) {
				const {deadlyCrashes, deadlySends} = model
				const knownAt =
					deadlyCrashes[crashesUntilKnown - 1] ?? Number.POSITIVE_INFINITY
				const later = deadlySends.filter(at => at > knownAt + noticeMs)
				expect(later.length).toBeLessThanOrEqual(maxLater)
				expect(model.turnedAway / model.soundRequests).toBeLessThan(0.01)
			}
		}
	)
})

const requestLoad: Partial<FleetLoad> = {
	isPlain: true,
	sends: 2,
	sameShare: 0.3
}

describe("requests as a whole at crashes for other causes", () => {
	it.each(kinds)(
		"are turned away only after two of their own: %s",
		(_, changes) => {
			const models = play({...requestLoad, ...changes})
			expect(models.map(model => model.turnedAwayUnharmed)).toEqual(
				seeds.map(() => 0)
			)
		}
	)
})

/** The users' bound: crashes after which it holds, and for how many sends. */
const crashesUntilBound = 3
const maxLaterSends = 3

describe("a request that crashes engines as a whole", () => {
	it.each([...kinds, ...oftenDeadly])(
		"is sent few times after the third crash, beside: %s",
		(_, changes) => {
			const loads = {deadlyShare: 0.04, ...requestLoad, ...changes}
			for (const {deadlyCrashes, deadlySends, ...model} of play(loads)) {
				const thirdAt =
					deadlyCrashes[crashesUntilBound - 1] ?? Number.POSITIVE_INFINITY
				const later = deadlySends.filter(at => at > thirdAt + noticeMs)
				expect(later.length).toBeLessThanOrEqual(maxLaterSends)
				expect(model.turnedAwayUnharmed).toBe(0)
			}
		}
	)
})
