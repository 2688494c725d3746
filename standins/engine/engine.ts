/**
 * Stand-in for a model engine with the OpenAI-compatible completions route and
 * vLLM's routes that load and unload adapters. Load and unload calls are the
 * orders that carry a fencing token.
 */
import {ulid} from "ulid"
import {z} from "zod"
import {
	type Answer,
	type Call,
	FencingTokenChecker,
	HttpError,
	LaggedValue,
	type ListenOptions,
	noCommonFaults,
	parseJson,
	readQueryInteger,
	StandinServer,
	KeyedCounter
} from "../common/index.js"
import {Batch, type BatchCounts} from "./batch.js"
import {Sequence, SequenceState} from "./sequence.js"
import {AdapterSlots} from "./adapterSlots.js"
import {
	type EngineAnswer,
	type EngineFaults,
	engineFaultsSchema,
	type EngineTruth
} from "./types.js"

export interface EngineOptions extends ListenOptions {
	weightStoreUrl: string
	/**
	 * Reject orders without a fencing token or with a stale one; otherwise only
	 * count stale ones.
	 */
	checksOrders?: boolean
	/** Adapters that can be loaded at the same time. */
	slots?: number
	/** Sequences that are decoded at the same time. */
	seats?: number
	maxWaiting?: number
	msPerToken?: number
	prefillMsPerToken?: number
	/** Age of the running and waiting counts that `/v1/load` reports. */
	loadLagMs?: number
}

const loadOrderSchema = z.object({
	lora_name: z.string().min(1),
	lora_path: z.string().min(1)
})

const unloadOrderSchema = loadOrderSchema.pick({lora_name: true})

const completionSchema = z.object({
	model: z.string(),
	prompt: z.string(),
	max_tokens: z.number().int().positive(),
	stream: z.literal(true),
	request_id: z.string().optional(),
	priority: z.number().default(0)
})

type CompletionRequest = z.infer<typeof completionSchema>

const wrongEchoSuffix = "-wrong"

export function startEngine(options: EngineOptions): Promise<EngineStandin> {
	return new EngineStandin(options).listen(options)
}

export class EngineStandin extends StandinServer<EngineFaults> {
	private readonly seats: number
	private readonly slotCount: number
	private readonly slots: AdapterSlots
	private readonly batch: Batch
	private readonly tokenChecker: FencingTokenChecker
	private readonly sequences = new Map<string, Sequence>()
	private readonly counts = new LaggedValue<BatchCounts>({
		running: 0,
		waiting: 0
	})
	private readonly answers: EngineAnswer[] = []
	private readonly runsById = new KeyedCounter()
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
		super(engineFaultsSchema.partial(), {
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
		this.slots = new AdapterSlots({slots, weightStoreUrl})
		this.tokenChecker = new FencingTokenChecker(checksOrders)
		this.batch = new Batch({
			seats,
			maxWaiting,
			msPerToken,
			prefillMsPerToken,
			onStart: ({options}) => {
				this.runsById.add(options.id)
			},
			onEnd: sequence => {
				this.recordFinished(sequence)
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
			staleOrdersAccepted: this.tokenChecker.staleAcceptedCount,
			staleOrdersRefused: this.tokenChecker.staleRefusedCount,
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
		this.batch.setPaused(this.faults.hang)
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
		const {lora_name: name, lora_path: path} = loadOrderSchema.parse(
			parseJson(call)
		)
		this.checkOrder(call)
		if (this.faults.failLoads > 0) {
			this.faults.failLoads -= 1
			throw new HttpError(502, `load of ${path} failed`)
		}
		await this.slots.load(name, path)
		return {body: {lora_name: name, lora_path: path}}
	}

	private unload(call: Call): Answer {
		const {lora_name: name} = unloadOrderSchema.parse(parseJson(call))
		this.checkOrder(call)
		if (!this.slots.unload(name)) throw createNotLoadedError(name)
		this.batch.evictPrefixes(name)
		this.evictedInUse += this.batch.abort(({options}) => options.model === name)
		return {body: {lora_name: name}}
	}

	private checkOrder({req}: Call): void {
		if (this.faults.refuseOrders) throw new HttpError(503, "orders are refused")
		this.tokenChecker.check(req)
	}

	private complete(call: Call): void {
		const body = completionSchema.parse(parseJson(call))
		const loraPath = this.slots.findLoraPath(body.model)
		if (loraPath === undefined) throw createNotLoadedError(body.model)
		if (this.batch.isFull) {
			const headers = {"retry-after": "1"}
			throw new HttpError(429, "too many requests wait", {headers})
		}
		const sequence = this.createSequence(body, loraPath)
		this.evictExpiredSequences()
		this.sequences.set(sequence.options.id, sequence)
		sequence.attachStream(call.res, 0)
		this.batch.add(sequence)
	}

	/** Creates a sequence and consumes the faults set for the next one. */
	private createSequence(body: CompletionRequest, loraPath: string): Sequence {
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
		const offset = readQueryInteger(call, "offset", 0)
		this.findSequence(call.params.id).attachStream(call.res, offset)
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
				highestFence: this.tokenChecker.highestToken
			}
		}
	}

	private findSequence(id = ""): Sequence {
		this.evictExpiredSequences()
		const sequence = this.sequences.get(id)
		if (sequence === undefined) throw new HttpError(404, `no stream ${id}`)
		return sequence
	}

	private evictExpiredSequences(): void {
		const now = performance.now()
		for (const [id, {state, expiresAt}] of this.sequences) {
			const isUnexpired = state !== SequenceState.Finished || expiresAt > now
			const isAborted = state === SequenceState.Aborted
			if (isAborted || !isUnexpired) this.sequences.delete(id)
		}
	}

	private recordFinished({state, options, tokens}: Sequence): void {
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
		this.batch.evictPrefixes()
		this.sequences.clear()
		this.tokenChecker.forgetHighestToken()
		this.destroyCalls()
	}
}

function createNotLoadedError(name: string): HttpError {
	return new HttpError(404, `adapter ${name} is not loaded`)
}
