/**
 * Stand-in of the weight store: loads start in order at a limited rate, and
 * take longer when too many are in flight.
 */
import murmurhash from "murmurhash"
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {z} from "zod"
import {sleep} from "../src/utils/common.js"
import {
	type Answer,
	type Call,
	commonFaults,
	type Counts,
	HttpError,
	type ListenOptions,
	noCommonFaults,
	Standin,
	Tally
} from "./common/index.js"

export interface WeightStoreOptions extends ListenOptions {
	loadMs?: number
	/** Loads in flight beyond this slow each other down. */
	maxInFlight?: number
	loadsPerSecond?: number
	/** Seed of random failures. */
	seed?: number
}

const weightStoreFaults = z.strictObject({
	...commonFaults,
	/** This many further loads fail. */
	failNext: z.number().int().min(0),
	/** Share of loads that fail. */
	failRatio: z.number().min(0).max(1),
	/** 1 is normal, 0.5 half as fast. */
	speed: z.number().positive(),
	/** Sources that are answered with 404. */
	missing: z.array(z.string())
})

export type WeightStoreFaults = z.infer<typeof weightStoreFaults>

export interface WeightStoreTruth {
	/** Loads that succeeded. */
	loads: number
	failed: number
	peakInFlight: number
	inFlight: number
	loadsBySource: Counts
}

const msPerSecond = 1_000

/** Starts a weight store stand-in. */
export function startWeightStore(
	options: WeightStoreOptions = {}
): Promise<WeightStoreStandin> {
	return new WeightStoreStandin(options).listen(options)
}

export class WeightStoreStandin extends Standin<WeightStoreFaults> {
	private readonly loadMs: number
	private readonly maxInFlight: number
	private readonly loadsPerSecond: number
	private readonly random: ReturnType<typeof xoroshiro128plus>
	private readonly loadsBySource = new Tally()
	/** Starts the loads that wait for the rate, in order. */
	private readonly waiting = new Set<() => void>()
	private nextStartAt = 0
	private timer: NodeJS.Timeout | undefined
	private inFlight = 0
	private peakInFlight = 0
	private failed = 0

	constructor({
		loadMs = 250,
		maxInFlight = 8,
		loadsPerSecond = 5,
		seed = 1
	}: WeightStoreOptions) {
		super(weightStoreFaults.partial(), {
			...noCommonFaults,
			failNext: 0,
			failRatio: 0,
			speed: 1,
			missing: []
		})
		this.loadMs = loadMs
		this.maxInFlight = maxInFlight
		this.loadsPerSecond = loadsPerSecond
		this.random = xoroshiro128plus(seed)
		this.route("GET", "/v1/weights", call => this.load(call))
	}

	truth(): WeightStoreTruth {
		return {
			loads: this.loadsBySource.sum,
			failed: this.failed,
			peakInFlight: this.peakInFlight,
			inFlight: this.inFlight,
			loadsBySource: this.loadsBySource.counts
		}
	}

	override async close(): Promise<void> {
		clearTimeout(this.timer)
		await super.close()
	}

	private async load(call: Call): Promise<Answer | undefined> {
		const {source = ""} = call.query
		if (source === "") throw new HttpError(400, "source is not set")
		if (this.faults.missing.includes(source)) {
			throw new HttpError(404, `source ${source} does not exist`)
		}
		this.inFlight += 1
		this.peakInFlight = Math.max(this.peakInFlight, this.inFlight)
		try {
			await this.waitForStart(call)
			if (call.res.destroyed) return undefined
			await this.transfer()
		} finally {
			this.inFlight -= 1
		}
		if (this.isFailing()) {
			this.failed += 1
			throw new HttpError(503, `load of ${source} failed`)
		}
		this.loadsBySource.add(source)
		return {body: {source, digest: murmurhash.v3(source).toString(16)}}
	}

	/** Waits for the rate; a caller that disconnects leaves the queue. */
	private waitForStart({res}: Call): Promise<void> {
		return new Promise(resolve => {
			const start = (): void => {
				this.waiting.delete(start)
				res.off("close", start)
				resolve()
			}
			this.waiting.add(start)
			res.once("close", start)
			this.schedule()
		})
	}

	private schedule(): void {
		if (this.timer !== undefined || this.waiting.size === 0) return
		const waitMs = Math.max(0, this.nextStartAt - performance.now())
		this.timer = setTimeout(() => {
			this.timer = undefined
			this.startNext()
			this.schedule()
		}, waitMs)
	}

	private startNext(): void {
		const [start] = this.waiting
		if (start === undefined) return
		const {speed} = this.faults
		const intervalMs = msPerSecond / (this.loadsPerSecond * speed)
		this.nextStartAt =
			Math.max(performance.now(), this.nextStartAt) + intervalMs
		start()
	}

	private async transfer(): Promise<void> {
		const crowding = crowdingOf(this.inFlight, this.maxInFlight)
		await sleep((this.loadMs * crowding) / this.faults.speed)
	}

	private isFailing(): boolean {
		if (this.faults.failNext > 0) {
			this.faults.failNext -= 1
			return true
		}
		return uniformFloat64(this.random) < this.faults.failRatio
	}
}

/** Factor by which loads take longer with `inFlight` at a time. */
export function crowdingOf(inFlight: number, maxInFlight: number): number {
	return Math.max(1, inFlight / maxInFlight)
}
