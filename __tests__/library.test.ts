/** Uses the library through src/index.ts, as an embedding program does. */
import {expect, test} from "vitest"
import * as library from "../src/index.js"
import {
	AdapterScheduler,
	assessBurn,
	AlertSeverity,
	assembleConfiguration,
	BurnCause,
	ClaimActionType,
	type ClaimAction,
	ClaimBucket,
	ClaimEventType,
	type ClaimHead,
	ClaimResultType,
	BodyEncoding,
	ConfigError,
	createLedger,
	createPart,
	createSpread,
	DemandLoadShares,
	FencingActionType,
	FencingEventType,
	fingerprintRoot,
	formatModelName,
	getInstalledGeneration,
	HostRole,
	type HostRecord,
	HostState,
	hourOf,
	IncarnationAllocator,
	Membership,
	MembershipActionType,
	MembershipEventType,
	mergeIntoLedger,
	parseConfiguration,
	parseModelName,
	Platform,
	type PlatformListing,
	type PlatformObject,
	type PlatformWatch,
	recordSample,
	RequestClass,
	ResidencyRouter,
	RetryBudget,
	RootSource,
	type SchedulerAction,
	SchedulerActionKind,
	SchedulerEventKind,
	SendEnd,
	splitIntoParts,
	SpreadActionKind,
	SpreadEventKind,
	stepSpread,
	WriteOutcome,
	type WriteResult
} from "../src/index.js"

const now = 1_800_000_000_000

/** Minimal platform for an embedding program: versioned objects in memory. */
class MemoryPlatform extends Platform {
	private readonly objects = new Map<string, PlatformObject>()
	private revision = 0

	async read(kind: string, name: string): Promise<PlatformObject | undefined> {
		await Promise.resolve()
		return this.objects.get(`${kind}/${name}`)
	}

	async write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		await Promise.resolve()
		const id = `${kind}/${name}`
		const current = this.objects.get(id)?.version ?? 0
		if (current !== expected) {
			return {outcome: WriteOutcome.Conflict, version: current, detail: ""}
		}
		this.revision += 1
		this.objects.set(id, {name, version: this.revision, value})
		const version = this.revision
		return {outcome: WriteOutcome.Written, version, detail: ""}
	}

	remove(): Promise<WriteResult> {
		return Promise.reject(new Error("not used"))
	}

	list(): Promise<PlatformListing> {
		return Promise.reject(new Error("not used"))
	}

	watch(): Promise<PlatformWatch> {
		return Promise.reject(new Error("not used"))
	}

	hosts(): Promise<HostRecord[]> {
		return Promise.reject(new Error("not used"))
	}
}

const answer = {
	status: 200,
	contentType: "text/plain",
	encoding: BodyEncoding.Utf8,
	body: "booked",
	size: 6
}

/** A process that makes calls with idempotency keys, using one claim bucket. */
class KeyedCaller {
	sendCount = 0
	readonly resultTypes: string[] = []
	private readonly bucket: ClaimBucket
	private clock = now

	constructor(
		private readonly platform: Platform,
		hostId: string
	) {
		this.bucket = new ClaimBucket({
			pool: "desk",
			bucket: 0,
			processId: hostId,
			owner: {hostId, address: "127.0.0.1:1", incarnation: 1}
		})
	}

	async call(id: number, key: string): Promise<void> {
		const call = {
			id,
			key,
			bodyHash: "body",
			deadline: this.clock + 60_000,
			mayHaveBeenSent: false,
			isFirstAttempt: false
		}
		await this.executeAll(
			this.bucket.step({type: ClaimEventType.Call, call}, this.clock)
		)
		while (!this.bucket.isIdle && this.bucket.nextTickAt() < Infinity) {
			this.clock = Math.max(this.clock + 1, this.bucket.nextTickAt())
			const tick = {type: ClaimEventType.Tick} as const
			await this.executeAll(this.bucket.step(tick, this.clock))
		}
	}

	private async executeAll(actions: ClaimAction[]): Promise<void> {
		for (const action of actions) await this.execute(action)
	}

	private async execute(action: ClaimAction): Promise<void> {
		switch (action.type) {
			case ClaimActionType.ReadHead: {
				const object = await this.platform.read("claims", "head")
				return this.stepBucket({
					type: ClaimEventType.HeadRead,
					head: object?.value as ClaimHead | undefined,
					version: object?.version ?? 0
				})
			}
			case ClaimActionType.WriteHead: {
				const {head, expected} = action
				const ended = await this.platform.write(
					"claims",
					"head",
					head,
					expected
				)
				return this.stepBucket({type: ClaimEventType.WriteEnded, ...ended})
			}
			case ClaimActionType.Send: {
				this.sendCount += 1
				const {key, attempt} = action
				return this.stepBucket({
					type: ClaimEventType.CallEnded,
					key,
					attempt,
					outcome: {end: SendEnd.Answered, answer}
				})
			}
			case ClaimActionType.End:
				this.resultTypes.push(action.result.type)
				return
			default:
				throw new Error(`unexpected action ${action.type}`)
		}
	}

	private stepBucket(event: Parameters<ClaimBucket["step"]>[0]): Promise<void> {
		return this.executeAll(this.bucket.step(event, this.clock))
	}
}

test("claims: sends a key once and replays its answer to later callers", async () => {
	const platform = new MemoryPlatform()
	const first = new KeyedCaller(platform, "desk-1")
	const second = new KeyedCaller(platform, "desk-2")
	await first.call(1, "key")
	await first.call(2, "key")
	await second.call(3, "key")
	expect([first.sendCount, second.sendCount]).toEqual([1, 0])
	const {Answered} = ClaimResultType
	expect([...first.resultTypes, ...second.resultTypes]).toEqual([
		Answered,
		Answered,
		Answered
	])
})

const file = {
	path: "library.yaml",
	text: `
deployment: library
failureDomains: [{name: north, region: r1}]
baseModels: [loom]
pools: [{name: writers, type: engines, baseModel: loom, slots: 2, seats: 2, msPerToken: 1, checksOrders: true}]
routes: [{name: drafts, pool: writers, class: interactive}]
weightStore: {loadsPerSecond: 5, inFlight: 8, loadMs: 250}
adapters:
  - {base: loom, name: a, versions: [{version: v1, source: weights/a}]}
`
}

test("configuration: parses files, splits them into parts and reassembles them", () => {
	const configuration = parseConfiguration([file])
	const {root, parts} = splitIntoParts(configuration)
	expect(assembleConfiguration(root, parts)).toEqual(configuration)
	const broken = {path: "b.yaml", text: "deployment: 7\nnonsense: 1"}
	expect(() => parseConfiguration([broken])).toThrow(ConfigError)
})

test("configuration spread: installs a complete generation and no older one", () => {
	const state = createSpread({
		selfId: "entry-1",
		failureDomain: "north",
		isEntry: true
	})
	stepSpread(state, {kind: SpreadEventKind.PeersChanged, peers: []}, now)
	const {root, parts} = splitIntoParts(parseConfiguration([file]))
	const learnRoot = (generation: number): string[] => {
		const completeRoot = {...root, generation, applies: []}
		const event = {
			kind: SpreadEventKind.RootLearnt as const,
			source: RootSource.Platform,
			peer: "",
			root: completeRoot,
			fingerprint: fingerprintRoot(completeRoot),
			parts
		}
		return stepSpread(state, event, now).map(({kind}) => kind)
	}
	expect(learnRoot(2)).toContain(SpreadActionKind.Install)
	expect(learnRoot(1)).not.toContain(SpreadActionKind.Install)
	expect(getInstalledGeneration(state)).toBe(2)
})

test("fencing: a new process takes a token above every used one", () => {
	const taker = new IncarnationAllocator({
		processId: "p",
		random: 0,
		startDeadline: now + 1000
	})
	const {Start, Read, WriteEnded} = FencingEventType
	taker.step({type: Start, used: [7]}, now)
	const stored = {incarnation: Number.MAX_SAFE_INTEGER - 10, processId: "q"}
	taker.step({type: Read, stored, version: 3}, now)
	const outcome = WriteOutcome.Written
	const actions = taker.step({type: WriteEnded, outcome, version: 4}, now)
	expect(actions).toEqual([
		{
			type: FencingActionType.Use,
			incarnation: Number.MAX_SAFE_INTEGER - 9,
			isRecorded: true
		}
	])
})

test("load shares: divides the weight store's limits by demand", () => {
	const limits = {loadsPerSecond: 8, inFlight: 8, loadMs: 250}
	const shares = new DemandLoadShares({limits, processes: 4})
	expect(shares.getShare(now).loadsPerSecond).toBe(2)
	shares.setDemand(3)
	shares.addFleetDemand({entry: "e", demand: 1, demanding: 1}, now)
	expect(shares.getShare(now)).toEqual({loadsPerSecond: 5.5, inFlight: 5.5})
})

function createScheduler(loadStalls: number): AdapterScheduler {
	return new AdapterScheduler({
		workers: ["w"],
		slots: 1,
		seats: 1,
		objective: {loadStalls, batchEfficiency: 1 - loadStalls},
		share: {loadsPerSecond: 5, inFlight: 8},
		msPerToken: 1,
		loadMs: 250,
		maxQueued: 10
	})
}

const newDraft = {
	id: "d",
	adapter: "loom:a@v1",
	member: "club-1",
	class: RequestClass.Interactive,
	deadline: now + 60_000,
	arrivedAt: now,
	maxTokens: 10,
	prefixHash: 0
}

/**
 * Adds a request and returns the scheduler's actions. When the scheduler asks
 * for a wake-up before it loads, the actions at that time are included.
 */
function scheduleDraft(scheduler: AdapterScheduler): SchedulerAction[] {
	const arrived = {kind: SchedulerEventKind.Arrived as const, draft: newDraft}
	const actions = scheduler.step(arrived, now)
	const isLoading = actions.some(({kind}) => kind === SchedulerActionKind.Load)
	const wake = actions.find(({kind}) => kind === SchedulerActionKind.Wake)
	if (isLoading || wake === undefined || !("at" in wake)) return actions
	const tick = {kind: SchedulerEventKind.Tick as const}
	return [...actions, ...scheduler.step(tick, wake.at)]
}

const {adapter} = newDraft
const firstLoad = {kind: SchedulerActionKind.Load, worker: "w", adapter}

test("scheduling: runs a request when its adapter load has ended", () => {
	const scheduler = createScheduler(0.8)
	const actions = scheduleDraft(scheduler)
	const load = actions.find(({kind}) => kind === SchedulerActionKind.Load)
	expect(load).toMatchObject(firstLoad)
	const ended = {
		kind: SchedulerEventKind.LoadEnded as const,
		worker: "w",
		adapter,
		ok: true,
		tookMs: 250,
		...(load !== undefined && "load" in load ? {load: load.load ?? 0} : {})
	}
	expect(scheduler.step(ended, now + 250)).toContainEqual(
		expect.objectContaining({kind: SchedulerActionKind.Run, id: "d"})
	)
})

test.each([0, 0.5, 0.9, 0.95, 1])(
	"scheduling: loads on an idle engine with a load stall weight of %d",
	loadStalls => {
		const actions = scheduleDraft(createScheduler(loadStalls))
		expect(actions).toContainEqual(expect.objectContaining(firstLoad))
	}
)

test("routing: prefers a host with the adapter loaded and limits retries", () => {
	const view = {
		failureDomain: "north",
		admitting: true,
		workers: 1,
		seats: 4,
		slots: 4,
		loading: new Set<string>(),
		running: 0,
		queued: 0,
		unreportedOwnRequests: 0,
		loadMs: 250
	}
	const query = {
		adapter: "loom:a@v1",
		class: RequestClass.Interactive,
		member: "club-1",
		deadline: now + 60_000,
		prefixHash: 0,
		excluded: new Set<string>(),
		failureDomain: "north"
	}
	for (const holder of ["w-1", "w-2", "w-3"]) {
		const views = ["w-1", "w-2", "w-3"].map(id => ({
			...view,
			id,
			resident: new Set(id === holder ? [query.adapter] : [])
		}))
		const [first] = new ResidencyRouter().choose(query, views, now, 0.5)
		expect(first).toBe(holder)
	}
	const budget = new RetryBudget({ratio: 0, minPerSecond: 1})
	expect([budget.tryRetry(now), budget.tryRetry(now)]).toEqual([true, false])
})

test("membership: admits a host that sent a message and stops new work when it leaves", () => {
	const membership = new Membership({selfId: "entry-1"})
	const host = {
		id: "desk-1",
		role: HostRole.Endpoint,
		address: "127.0.0.1:1",
		failureDomain: "north",
		pool: "desk",
		state: HostState.Live
	}
	const {Listed} = MembershipEventType
	const getActionTypes = (
		event: Parameters<Membership["step"]>[0],
		at: number
	): string[] => membership.step(event, at).map(({type}) => type)
	const {Connect, Admit, StopNewWork} = MembershipActionType
	expect(getActionTypes({type: Listed, hosts: [host]}, now)).toEqual([Connect])
	const heard = {
		type: MembershipEventType.Heard as const,
		hostId: "desk-1",
		incarnation: 5
	}
	expect(getActionTypes(heard, now + 1)).toEqual([Admit])
	const leaving = {...host, state: HostState.Leaving}
	const announced = {
		type: MembershipEventType.Announced as const,
		host: leaving,
		incarnation: 5
	}
	expect(getActionTypes(announced, now + 2)).toEqual([StopNewWork])
})

test("burn: adds the counts of several recorders once each and raises an alert", () => {
	const ledger = createLedger()
	for (const recorder of ["entry-1", "entry-2"]) {
		const part = createPart(recorder, hourOf(now))
		for (let i = 0; i < 10; i++) {
			recordSample(part, {
				serviceLevel: "drafts",
				member: "club-1",
				good: i < 5,
				cause: BurnCause.LoadStall,
				at: now
			})
		}
		mergeIntoLedger(ledger, part)
		mergeIntoLedger(ledger, part)
	}
	const level = {name: "drafts", target: 0.99}
	expect(assessBurn(ledger, level, now)).toMatchObject({
		good: 10,
		bad: 10,
		severity: AlertSeverity.Page,
		leadingCause: BurnCause.LoadStall
	})
})

test("names: parses and formats a model name", () => {
	const name = {base: "loom", adapter: "a", version: "v1"}
	expect(parseModelName(formatModelName(name))).toEqual(name)
	expect(parseModelName("loom:a")).toBeUndefined()
})

test("exports a value for every name", () => {
	const missing = Object.entries(library).filter(
		([, value]) => (value as unknown) === undefined
	)
	expect(missing).toEqual([])
})
