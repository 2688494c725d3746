/** The loads of the comparison, seeded. Figures are those of docs/design/hard-load.md. */
import {createRandom, drawExponential, Zipf} from "../policy/random.js"
import type {FleetLoad, SimRequest} from "./simFleet.js"

const steady = (): number => 1
const paceStepMs = 100
const minPace = 0.6
const maxPace = 2

/** A pace that changes every 100 ms, apart from that of other engines. */
function createPace(seed: number, stepCount: number): (now: number) => number {
	const random = createRandom(seed)
	const paces = Array.from(
		{length: stepCount},
		() => minPace * (maxPace / minPace) ** random()
	)
	return now => paces[Math.floor(now / paceStepMs) % stepCount] ?? 1
}

function drawNormal(random: () => number): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random()))
	return radius * Math.cos(2 * Math.PI * random())
}

interface DrawOptions {
	seed: number
	seconds: number
	gateways: number
	/** Requests a second of a gateway at a time in seconds. */
	getRate: (gateway: number, second: number) => number
	drawAdapter: (random: () => number, second: number) => string
	/** Median tokens of the answers of the two kinds. */
	medians?: readonly [number, number]
	maxTokens?: number
}

/** Requests of two kinds that look alike; half of them have a hint. */
function drawRequests(options: DrawOptions): SimRequest[] {
	const {seed, seconds, gateways, getRate, drawAdapter} = options
	const {medians = [24, 171], maxTokens = 600} = options
	const random = createRandom(seed)
	const requests: SimRequest[] = []
	for (let gateway = 0; gateway < gateways; gateway++) {
		let at = 0
		for (;;) {
			const rate = getRate(gateway, at / 1000)
			at += drawExponential(random, 1000 / rate)
			if (at >= seconds * 1000) break
			const kind = random() < 0.6 ? 0 : 1
			const drawn = medians[kind] * Math.exp(0.4 * drawNormal(random))
			const outputTokens = Math.max(1, Math.min(maxTokens, Math.round(drawn)))
			const factor = Math.exp(0.7 * drawNormal(random))
			const hint = Math.max(1, Math.round(outputTokens * factor))
			requests.push({
				at,
				gateway,
				adapter: drawAdapter(random, at / 1000),
				member: `m${kind}-${Math.floor(random() * 8)}`,
				promptTokens: Math.round(1200 * 4 ** random()),
				outputTokens,
				lengthHint: random() < 0.5 ? hint : undefined,
				maxTokens
			})
		}
	}
	return requests.sort((a, b) => a.at - b.at)
}

function createZipfAdapters(count: number): (random: () => number) => string {
	const zipf = new Zipf(count)
	return random => `a${zipf.draw(random)}`
}

/** Answers of 24 and 171 tokens that look alike, on engines that are alike. */
export function createTwoSizesLoad(seed: number): FleetLoad {
	return {
		engines: Array.from({length: 4}, () => ({
			domain: "d0",
			speed: 1,
			getPace: steady
		})),
		gateways: ["d0", "d0", "d0"],
		requests: drawRequests({
			seed,
			seconds: 30,
			gateways: 3,
			getRate: () => 11,
			medians: [24, 800],
			maxTokens: 3000,
			drawAdapter: createZipfAdapters(5)
		})
	}
}

/** Engines at 0.7, 0.7 and 1.7, twice, whose pace changes every 100 ms. */
export function createPacesLoad(seed: number): FleetLoad {
	return {
		engines: [0.7, 0.7, 1.7, 0.7, 0.7, 1.7].map((speed, index) => ({
			domain: "d0",
			speed,
			getPace: createPace(seed * 100 + index, 1000)
		})),
		gateways: ["d0", "d0", "d0", "d0"],
		requests: drawRequests({
			seed,
			seconds: 30,
			gateways: 4,
			getRate: () => 15,
			drawAdapter: createZipfAdapters(12)
		})
	}
}

/**
 * Three failure domains whose traffic swings by 0.55 with a period of 17 s, out of
 * phase; from 8 to 13 s four tenths of the callers of the first are in the second.
 */
export function createWavesLoad(seed: number): FleetLoad {
	const domains = ["d0", "d1", "d2"]
	const baseRate = 18
	const getRate = (gateway: number, second: number): number => {
		const phase = (2 * Math.PI * gateway) / domains.length
		const wave = 1 + 0.55 * Math.sin((2 * Math.PI * second) / 17 + phase)
		const isMoving = second >= 8 && second < 13
		const moved = isMoving ? ([0.6, 1.4, 1][gateway] ?? 1) : 1
		return baseRate * wave * moved
	}
	return {
		engines: [0, 1, 2, 0, 1, 2].map((domain, index) => ({
			domain: domains[domain] ?? "",
			speed: [0.7, 1.7, 0.7][index % 3] ?? 1,
			getPace: createPace(seed * 100 + index, 1000)
		})),
		gateways: domains,
		requests: drawRequests({
			seed,
			seconds: 34,
			gateways: 3,
			getRate,
			drawAdapter: createZipfAdapters(15)
		})
	}
}

/** An adapter that three of four requests ask for from 8 to 18 s, and no others. */
export function createHotAdapterLoad(seed: number): FleetLoad {
	const drawUsual = createZipfAdapters(20)
	return {
		engines: Array.from({length: 6}, () => ({
			domain: "d0",
			speed: 1,
			getPace: steady
		})),
		gateways: ["d0", "d0", "d0", "d0"],
		requests: drawRequests({
			seed,
			seconds: 28,
			gateways: 4,
			getRate: (_, second) => (second >= 8 && second < 18 ? 17 : 10),
			drawAdapter: (random, second) =>
				second >= 8 && second < 18 && random() < 0.75
					? "hot"
					: drawUsual(random)
		})
	}
}
