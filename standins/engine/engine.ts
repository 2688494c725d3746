/**
 * Stand-in of a model engine with the OpenAI-compatible completions route and
 * vLLM's routes that load and unload adapters.
 */
import {ulid} from "ulid"
import {z} from "zod"
import {
	type Answer,
	type Call,
	Fence,
	HttpError,
	Lagged,
	type ListenOptions,
	noCommonFaults,
	parseJson,
	readInteger,
	Standin,
	Tally
} from "../common/index.js"
import {Batch, type BatchCounts} from "./batch.js"
import {Sequence, SequenceState} from "./sequence.js"
import {Slots} from "./slots.js"
import {
	type EngineAnswer,
	type EngineFaults,
	engineFaults,
	type EngineTruth
} from "./types.js"

export interface EngineOptions extends ListenOptions {
	weightStoreUrl: string
	/** Refuse orders with an old fencing number. */
	checksOrders?: boolean
	/** Adapters that can be loaded at a time. */
	slots?: number
	/** Sequences that run at a time. */
	seats?: number
	maxWaiting?: number
	msPerToken?: number
	prefillMsPerToken?: number
	loadLagMs?: number
}

const loadOrder = z.object({
	lora_name: z.string().min(1),
	lora_path: z.string().min(1)
})

const unloadOrder = loadOrder.pick({lora_name: true})

const completion = z.object({
	model: z.string(),
	prompt: z.string(),
	max_tokens: z.number().int().positive(),
	stream: z.literal(true),
	request_id: z.string().optional(),
	priority: z.number().default(0)
})

type Completion = z.infer<typeof completion>

const wrongEchoSuffix = "-wrong"

/** Starts an engine stand-in. */
export function startEngine(options: EngineOptions): Promise<EngineStandin> {
	return new EngineStandin(options).listen(options)
}

export class EngineStandin extends Standin<EngineFaults> {
	private readonly seats: number
	private readonly slotCount: number
	private readonly slots: Slots
	private readonly batch: Batch
	private readonly fence: Fence
	private readonly sequences = new Map<string, Sequence>()
	private readonly counts = new Lagged<BatchCounts>({running: 0, waiting: 0})
	private readonly answers: EngineAnswer[] = []
	private readonly runsById = new Tally()
	private incarnation = ulid()
	private evictedInUse = 0
	private coldRestarts = 0

	constructor({
		weightStoreUrl,
		checksOrders = false,
		slots = 8,
		seats = 8,
		maxWaiting = 64,
		msPerToken = 5,
		prefillMsPerToken = 0.2,
		loadLagMs = 500
	}: EngineOptions) {
		super(engineFaults.partial(), {
			...noCommonFaults,
			coldRestart: false,
			failLoads: 0,
			refuseOrders: false,
			msPerToken,
			cutStreamsAfter: 0,
			wrongEcho: false,
			dropEvent: false,
			loadLagMs
		})
		this.seats = seats
		this.slotCount = slots
		this.slots = new Slots({slots, weightStoreUrl})
		this.fence = new Fence(checksOrders)
		this.batch = new Batch({
			seats,
			maxWaiting,
			msPerToken,
			prefillMsPerToken,
			onStart: ({options}) => {
				this.runsById.add(options.id)
			},
			onEnd: sequence => {
				this.recordEnd(sequence)
			},
			onCounts: counts => {
				this.counts.set(counts)
			}
		})
		this.addRoutes()
	}

	truth(): EngineTruth {
		return {
			answers: [...this.answers],
			runsById: this.runsById.counts,
			evictedInUse: this.evictedInUse,
			coldRestarts: this.coldRestarts,
			staleOrdersAccepted: this.fence.staleAccepted,
			staleOrdersRefused: this.fence.staleRefused,
			loads: this.slots.loads,
			steps: this.batch.steps,
			tokenSum: this.batch.tokenSum,
			batchEfficiency: this.batch.efficiency
		}
	}

	override async close(): Promise<void> {
		this.batch.close()
		this.slots.clear()
		await super.close()
	}

	protected override applyFaults(changes: Partial<EngineFaults>): void {
		this.batch.msPerToken = this.faults.msPerToken
		this.batch.pause(this.faults.hang)
		if (changes.coldRestart === true) this.restartCold()
	}

	private addRoutes(): void {
		this.route("POST", "/v1/load_lora_adapter", call => this.load(call))
		this.route("POST", "/v1/unload_lora_adapter", call => this.unload(call))
		this.route("POST", "/v1/completions", call => {
			this.complete(call)
			return undefined
		})
		this.route("GET", "/v1/streams/:id", call => {
			this.resume(call)
			return undefined
		})
		this.route("DELETE", "/v1/streams/:id", call => this.cancel(call))
		this.route("GET", "/v1/load", () => this.reportLoad())
	}

	private async load(call: Call): Promise<Answer> {
		const {lora_name: name, lora_path: path} = loadOrder.parse(parseJson(call))
		this.checkOrder(call)
		if (this.faults.failLoads > 0) {
			this.faults.failLoads -= 1
			throw new HttpError(502, `load of ${path} failed`)
		}
		await this.slots.load(name, path)
		return {body: {lora_name: name, lora_path: path}}
	}

	private unload(call: Call): Answer {
		const {lora_name: name} = unloadOrder.parse(parseJson(call))
		this.checkOrder(call)
		if (!this.slots.unload(name)) throw notLoaded(name)
		this.batch.dropPrefixes(name)
		this.evictedInUse += this.batch.abort(({options}) => options.model === name)
		return {body: {lora_name: name}}
	}

	private checkOrder({req}: Call): void {
		if (this.faults.refuseOrders) throw new HttpError(503, "orders are refused")
		this.fence.check(req)
	}

	private complete(call: Call): void {
		const body = completion.parse(parseJson(call))
		const loraPath = this.slots.pathOf(body.model)
		if (loraPath === undefined) throw notLoaded(body.model)
		if (this.batch.isFull) {
			const headers = {"retry-after": "1"}
			throw new HttpError(429, "too many requests wait", {headers})
		}
		const sequence = this.createSequence(body, loraPath)
		this.dropExpired()
		this.sequences.set(sequence.options.id, sequence)
		sequence.addReader(call.res, 0)
		this.batch.add(sequence)
	}

	/** Makes a sequence with the faults meant for the next stream. */
	private createSequence(body: Completion, loraPath: string): Sequence {
		const {cutStreamsAfter, dropEvent, wrongEcho} = this.faults
		this.faults.cutStreamsAfter = 0
		this.faults.dropEvent = false
		return new Sequence({
			id: body.request_id ?? ulid(),
			model: body.model,
			echoedModel: wrongEcho ? body.model + wrongEchoSuffix : body.model,
			loraPath,
			prompt: body.prompt,
			maxTokens: body.max_tokens,
			priority: body.priority,
			cutAfterEvents: cutStreamsAfter > 0 ? cutStreamsAfter : Infinity,
			isDroppingEvent: dropEvent
		})
	}

	private resume(call: Call): void {
		const offset = readInteger(call, "offset", 0)
		this.findSequence(call.params.id).addReader(call.res, offset)
	}

	private cancel({params}: Call): Answer {
		const sequence = this.findSequence(params.id)
		this.batch.abort(other => other === sequence)
		return {body: {id: sequence.options.id}}
	}

	private reportLoad(): Answer {
		const {running, waiting} = this.counts.read(this.faults.loadLagMs)
		return {
			body: {
				incarnation: this.incarnation,
				running,
				waiting,
				seats: this.seats,
				slots: this.slotCount,
				resident: this.slots.resident,
				highestFence: this.fence.highest
			}
		}
	}

	private findSequence(id = ""): Sequence {
		this.dropExpired()
		const sequence = this.sequences.get(id)
		if (sequence === undefined) throw new HttpError(404, `no stream ${id}`)
		return sequence
	}

	private dropExpired(): void {
		const now = performance.now()
		for (const [id, {state, expiresAt}] of this.sequences) {
			const isKept = state !== SequenceState.Finished || expiresAt > now
			const isAborted = state === SequenceState.Aborted
			if (isAborted || !isKept) this.sequences.delete(id)
		}
	}

	private recordEnd({state, options, tokens}: Sequence): void {
		if (state !== SequenceState.Finished) return
		const {id: requestId, model, loraPath} = options
		this.answers.push({requestId, model, loraPath, tokens})
	}

	private restartCold(): void {
		this.faults.coldRestart = false
		this.coldRestarts += 1
		this.incarnation = ulid()
		this.slots.clear()
		this.batch.abort(() => true)
		this.batch.dropPrefixes()
		this.sequences.clear()
		this.fence.reset()
		this.destroyCalls()
	}
}

function notLoaded(name: string): HttpError {
	return new HttpError(404, `adapter ${name} is not loaded`)
}
