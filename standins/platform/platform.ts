/** Stand-in for the platform: its object API and its delayed list of hosts. */
import type {HostRecord} from "../../src/link/platform.js"
import {
	type Answer,
	type Call,
	HttpError,
	LaggedValue,
	type ListenOptions,
	noCommonFaults,
	parseJson,
	readHeader,
	readQueryInteger,
	StandinServer,
	KeyedCounter,
	TokenBucket
} from "../common/index.js"
import {ObjectStore, type StoreResult} from "./objectStore.js"
import {
	hostListSchema,
	type PlatformFaults,
	platformFaultsSchema,
	type PlatformTruth
} from "./types.js"

export interface PlatformOptions extends ListenOptions {
	writesPerSecond?: number
	readsPerSecond?: number
	/** Age of the list of hosts that callers get. */
	hostLagMs?: number
	/** Capacity of the change log that watches read from. */
	keptChanges?: number
}

const msPerSecond = 1_000
const defaultWatchMs = 30_000
const hostsKind = "hosts"

export function startPlatform(
	options: PlatformOptions = {}
): Promise<PlatformStandin> {
	return new PlatformStandin(options).listen(options)
}

export class PlatformStandin extends StandinServer<PlatformFaults> {
	private readonly store: ObjectStore
	private readonly hosts = new LaggedValue<HostRecord[]>([])
	private readonly readLimiter: TokenBucket
	private readonly writeLimiter: TokenBucket
	private readonly reads = new KeyedCounter()
	private readonly writes = new KeyedCounter()
	/** Callbacks that make each waiting watch look for changes again. */
	private readonly watchWakers = new Set<() => void>()
	private refused = 0
	private conflicts = 0
	private lost = 0

	constructor({
		writesPerSecond = 400,
		readsPerSecond = 2_000,
		hostLagMs = 500,
		keptChanges = 1_000
	}: PlatformOptions) {
		super(platformFaultsSchema.partial(), {
			...noCommonFaults,
			loseAnswers: 0,
			loseAnswersKind: "",
			staleReadMs: 0,
			watchGap: false,
			writesPerSecond,
			readsPerSecond,
			hostLagMs
		})
		this.store = new ObjectStore(keptChanges)
		this.readLimiter = new TokenBucket(readsPerSecond)
		this.writeLimiter = new TokenBucket(writesPerSecond)
		this.addRoutes()
	}

	truth(): PlatformTruth {
		return {
			revision: this.store.revision,
			reads: this.reads.sum,
			writes: this.writes.sum,
			readsByKind: this.reads.counts,
			writesByKind: this.writes.counts,
			refused: this.refused,
			conflicts: this.conflicts,
			lost: this.lost
		}
	}

	/** Sets the list of hosts; callers see it `hostLagMs` later. */
	setHosts(hosts: HostRecord[]): void {
		this.hosts.set(hosts)
	}

	protected override applyFaults(): void {
		this.readLimiter.setRate(this.faults.readsPerSecond)
		this.writeLimiter.setRate(this.faults.writesPerSecond)
		this.wakeWatches()
	}

	private addRoutes(): void {
		const object = "/v1/objects/:kind/:name"
		this.route("GET", object, call => this.readObject(call))
		this.route("PUT", object, call => this.putObject(call))
		this.route("DELETE", object, call => this.deleteObject(call))
		this.route("GET", "/v1/objects/:kind", call =>
			call.query.watch === "1" ? this.watch(call) : this.list(call)
		)
		this.route("GET", "/v1/hosts", () => this.listHosts())
		this.route("PUT", "/control/hosts", call => {
			const {hosts} = hostListSchema.parse(parseJson(call))
			this.setHosts(hosts)
			return {body: {hosts}}
		})
		this.route("GET", "/control/history/:kind/:name", call => {
			const {kind, name} = readObjectPath(call)
			return {body: this.store.history(kind, name)}
		})
	}

	private readObject(call: Call): Answer {
		const {kind, name} = readObjectPath(call)
		this.admitRead(kind)
		const found = this.store.read(kind, name, this.visibleRevision())
		if (found === undefined) throw createNotFoundError(kind, name)
		return {body: found}
	}

	private list(call: Call): Answer {
		const {kind} = readObjectPath(call)
		this.admitRead(kind)
		const revision = this.visibleRevision()
		const items = this.store.list(kind, call.query.prefix ?? "", revision)
		return {body: {revision, items}}
	}

	private listHosts(): Answer {
		this.admitRead(hostsKind)
		return {body: {hosts: this.hosts.read(this.faults.hostLagMs)}}
	}

	private putObject(call: Call): Answer | undefined {
		const {kind} = readObjectPath(call)
		const expected = readExpectedVersion(call)
		this.admitWrite(kind)
		const value = parseJson(call)
		if (value === null) throw new HttpError(400, "value is null")
		return this.write(call, value, expected)
	}

	private deleteObject(call: Call): Answer | undefined {
		const {kind, name} = readObjectPath(call)
		const expected = readExpectedVersion(call)
		this.admitWrite(kind)
		if (this.store.read(kind, name) === undefined)
			throw createNotFoundError(kind, name)
		return this.write(call, null, expected)
	}

	private write(
		call: Call,
		value: unknown,
		expected: number
	): Answer | undefined {
		const {kind, name} = readObjectPath(call)
		const result = this.store.write(kind, name, value, expected)
		if (!result.isWritten) return this.answerConflict(result)
		this.wakeWatches()
		if (this.consumeLostAnswerFault(kind)) {
			call.req.socket.destroy()
			return undefined
		}
		return {body: {version: result.version}}
	}

	private answerConflict({version}: StoreResult): Answer {
		this.conflicts += 1
		return {status: 412, body: {version}}
	}

	private consumeLostAnswerFault(kind: string): boolean {
		const {loseAnswers, loseAnswersKind} = this.faults
		if (loseAnswers === 0) return false
		if (loseAnswersKind !== "" && loseAnswersKind !== kind) return false
		this.faults.loseAnswers -= 1
		this.lost += 1
		return true
	}

	private async watch(call: Call): Promise<Answer | undefined> {
		const {kind} = readObjectPath(call)
		const revision = readQueryInteger(call, "revision", 0)
		const timeoutMs = readQueryInteger(call, "timeoutMs", defaultWatchMs)
		const deadline = performance.now() + timeoutMs
		this.admitRead(kind)
		let events = this.findChanges(kind, revision)
		while (events.length === 0 && performance.now() < deadline) {
			await this.waitForChange(call, deadline)
			if (call.res.destroyed) return undefined
			events = this.findChanges(kind, revision)
		}
		// The answer of a watch counts as a second read. It is charged without a
		// check, as the watch was admitted at its start.
		this.readLimiter.forceTake()
		this.reads.add(kind)
		return {body: {revision: this.store.revision, events}}
	}

	private findChanges(kind: string, revision: number): object[] {
		const changes = this.store.findChangesAfter(kind, revision)
		if (changes === undefined || this.faults.watchGap) {
			throw new HttpError(410, `changes after ${revision} are not kept`)
		}
		return changes.map(({name, version, value}) => ({name, version, value}))
	}

	/** Waits for `wakeWatches`, the deadline or the caller's disconnection. */
	private waitForChange({res}: Call, deadline: number): Promise<void> {
		return new Promise(resolve => {
			const wake = (): void => {
				clearTimeout(timer)
				this.watchWakers.delete(wake)
				res.off("close", wake)
				resolve()
			}
			const timer = setTimeout(wake, deadline - performance.now())
			this.watchWakers.add(wake)
			res.once("close", wake)
		})
	}

	private wakeWatches(): void {
		for (const wake of [...this.watchWakers]) wake()
	}

	private visibleRevision(): number {
		const {staleReadMs} = this.faults
		if (staleReadMs === 0) return this.store.revision
		return this.store.findRevisionAt(performance.now() - staleReadMs)
	}

	private admitRead(kind: string): void {
		this.admit(this.readLimiter)
		this.reads.add(kind)
	}

	private admitWrite(kind: string): void {
		this.admit(this.writeLimiter)
		this.writes.add(kind)
	}

	private admit(limiter: TokenBucket): void {
		if (limiter.tryTake()) return
		this.refused += 1
		const seconds = Math.ceil(limiter.waitMs / msPerSecond)
		const headers = {"retry-after": String(seconds)}
		throw new HttpError(429, "over the call budget", {headers})
	}
}

function readObjectPath({params}: Call): {kind: string; name: string} {
	return {kind: params.kind ?? "", name: params.name ?? ""}
}

/** Returns the expected version of a write; 0 means "must not exist yet". */
function readExpectedVersion({req}: Call): number {
	if (readHeader(req, "if-none-match") === "*") return 0
	const match = readHeader(req, "if-match")
	if (match === undefined) {
		throw new HttpError(428, "If-Match or If-None-Match: * is required")
	}
	const version = /^"(\d+)"$/.exec(match)?.[1]
	if (version === undefined) {
		throw new HttpError(400, `If-Match is not a quoted version: ${match}`)
	}
	return Number(version)
}

function createNotFoundError(kind: string, name: string): HttpError {
	return new HttpError(404, `no ${kind} object is named ${name}`)
}
