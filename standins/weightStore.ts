/**
 * Stand-in for the weight store. Loads start in the order of their arrival at a
 * limited rate, and take longer when more than `maxInFlight` are in flight. A
 * load is in flight from its arrival, also while it waits for the rate limit.
 */
import murmurhash from "murmurhash"
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {z} from "zod"
import {sleep} from "../src/utils/common.js"
import {
	type Answer,
	type Call,
	commonFaultSchemas,
	type Counts,
	HttpError,
	type ListenOptions,
	noCommonFaults,
	StandinServer,
	KeyedCounter
} from "./common/index.js"

export interface WeightStoreOptions extends ListenOptions {
	loadMs?: number
	/** Above this number of loads in flight, each takes longer. */
	maxInFlight?: number
	loadsPerSecond?: number
	/** Seed of the random failures set by `failRatio`. */
	seed?: number
}

const weightStoreFaultsSchema = z.strictObject({
	...commonFaultSchemas,
	/** Number of next loads that fail. */
	failNext: z.number().int().min(0),
	/** Ratio of the other loads that fail, chosen at random. */
	failRatio: z.number().min(0).max(1),
	/** Multiplies the rate of load starts and of transfers; 1 is normal. */
	speed: z.number().positive(),
	/** Sources whose loads are answered with 404. */
	missing: z.array(z.string())
})

export type WeightStoreFaults = z.infer<typeof weightStoreFaultsSchema>

export interface WeightStoreTruth {
	/** Number of successful loads. */
	loads: number
	failed: number
	peakInFlight: number
	inFlight: number
	loadsBySource: Counts
}

const msPerSecond = 1_000

export function startWeightStore(
	options: WeightStoreOptions = {}
): Promise<WeightStoreStandin> {
	return new WeightStoreStandin(options).listen(options)
}

export class WeightStoreStandin extends StandinServer<WeightStoreFaults> {
	private readonly loadMs: number
	private readonly maxInFlight: number
	private readonly loadsPerSecond: number
	private readonly random: ReturnType<typeof xoroshiro128plus>
	private readonly loadsBySource = new KeyedCounter()
	/** Callbacks that start the loads waiting for the rate limit, in order. */
	private readonly queuedStarts = new Set<() => void>()
	private nextStartAt = 0
	private timer: NodeJS.Timeout | undefined
	/** Loads that wait for the rate limit or are being transferred. */
	private inFlight = 0
	private peakInFlight = 0
	private failed = 0

	constructor({
		loadMs = 250,
		maxInFlight = 8,
		loadsPerSecond = 5,
		seed = 1
	}: WeightStoreOptions) {
		super(weightStoreFaultsSchema.partial(), {
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
			await this.simulateTransfer()
		} finally {
			this.inFlight -= 1
		}
		if (this.consumeLoadFailure()) {
			this.failed += 1
			throw new HttpError(503, `load of ${source} failed`)
		}
		this.loadsBySource.add(source)
		return {body: {source, digest: murmurhash.v3(source).toString(16)}}
	}

	/** Waits for the rate limit. A caller that disconnects leaves the queue. */
	private waitForStart({res}: Call): Promise<void> {
		return new Promise(resolve => {
			const start = (): void => {
				this.queuedStarts.delete(start)
				res.off("close", start)
				resolve()
			}
			this.queuedStarts.add(start)
			res.once("close", start)
			this.scheduleNextStart()
		})
	}

	private scheduleNextStart(): void {
		if (this.timer !== undefined || this.queuedStarts.size === 0) return
		const waitMs = Math.max(0, this.nextStartAt - performance.now())
		this.timer = setTimeout(() => {
			this.timer = undefined
			this.startNext()
			this.scheduleNextStart()
		}, waitMs)
	}

	private startNext(): void {
		const [start] = this.queuedStarts
		if (start === undefined) return
		const {speed} = this.faults
		const intervalMs = msPerSecond / (this.loadsPerSecond * speed)
		this.nextStartAt =
			Math.max(performance.now(), this.nextStartAt) + intervalMs
		start()
	}

	private async simulateTransfer(): Promise<void> {
		const slowdown = computeSlowdown(this.inFlight, this.maxInFlight)
		await sleep((this.loadMs * slowdown) / this.faults.speed)
	}

	private consumeLoadFailure(): boolean {
		if (this.faults.failNext > 0) {
			this.faults.failNext -= 1
			return true
		}
		return uniformFloat64(this.random) < this.faults.failRatio
	}
}

/** Returns the factor by which a load takes longer than `loadMs`. */
export function computeSlowdown(inFlight: number, maxInFlight: number): number {
	return Math.max(1, inFlight / maxInFlight)
}
