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
	showsHeads: true
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
