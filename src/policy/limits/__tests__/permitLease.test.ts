import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {
	type LeaseRecord,
	LeaseStep,
	type LeaseValue,
	type LeaseWritten,
	PermitIssuer,
	PermitLease
} from "../index.js"

const times = {ttlMs: 2000, marginMs: 500, renewMs: 700, rereadMs: 300}

function createLease(owner: string, host: string): PermitLease {
	return new PermitLease({...times, owner, host})
}

/** The platform's store, with returns from a copy of itself. */
class Store {
	record: LeaseRecord | undefined
	era = 1
	private revision = 0
	private copy: {record: LeaseRecord | undefined; revision: number} = {
		record: undefined,
		revision: 0
	}

	write(value: LeaseValue, expected: number): LeaseRecord | undefined {
		if ((this.record?.revision ?? 0) !== expected) return undefined
		this.revision += 1
		const {era, revision} = this
		this.record = {...value, era, revision}
		return this.record
	}

	saveCopy(): void {
		this.copy = {record: this.record, revision: this.revision}
	}

	returnToCopy(): void {
		this.era += 1
		this.record = this.copy.record
		this.revision = this.copy.revision
	}
}

/** A process with a lease; a call takes the time that the test chooses. */
class Process {
	readonly lease: PermitLease
	private eraSeen = 0
	private eraSince = 0
	private call: {endAt: number; finish: (now: number) => void} | undefined

	constructor(
		readonly owner: string,
		private readonly store: Store,
		eraSince?: number,
		host = owner
	) {
		this.lease = createLease(owner, host)
		if (eraSince !== undefined) this.noteEra(store.era, eraSince)
	}

	step(now: number, callMs: number, isAnswerLost: boolean): void {
		if (this.call !== undefined) {
			if (now < this.call.endAt) return
			const {finish} = this.call
			this.call = undefined
			finish(now)
		}
		const step = this.lease.plan(now)
		if (step === LeaseStep.None) return
		const {store, lease} = this
		if (step === LeaseStep.Read) {
			const {record, era} = store
			const finish = (at: number): void => {
				this.noteEra(era, at)
				lease.applyRead(record && {...record, era}, at)
			}
			this.call = {endAt: now + callMs, finish}
			return
		}
		const value = lease.createValue(this.owner, now)
		const written = store.write(value, lease.expectedRevision)
		const {era} = store
		const finish = (at: number): void => {
			if (isAnswerLost) {
				lease.failWrite()
				return
			}
			this.noteEra(era, at)
			if (written === undefined) lease.applyConflict()
			else lease.applyWrite(this.stamp(written), value, now, at)
		}
		this.call = {endAt: now + callMs, finish}
	}

	private noteEra(era: number, now: number): void {
		if (era <= this.eraSeen) return
		this.eraSeen = era
		this.eraSince = now
	}

	private stamp({era, revision}: LeaseRecord): LeaseWritten {
		return {era, revision, eraSince: this.eraSince}
	}
}

/** What happens to three processes and the store between two moves of a test. */
interface Move {
	/** Processes that run; the others are paused. */
	running: number[]
	/** Steps of 40 ms. */
	steps: number
	callMs: number
	isAnswerLost: boolean
	event: string
}

const calm = {callMs: 1, isAnswerLost: false, event: ""}
/**
 * The store gives out a revision again, for another process's record, and a renewal
 * by the first one replaces that record and loses its answer.
 */
const reissuedRevision: Move[] = [
	{...calm, running: [1], steps: 20},
	{...calm, running: [0], steps: 9, callMs: 900},
	{...calm, running: [0], steps: 42, event: "return"},
	{...calm, running: [1], steps: 1, isAnswerLost: true},
	{...calm, running: [1], steps: 43},
	{...calm, running: [0], steps: 1}
]

describe("the lease on a pool's permits", () => {
	it("is never held by two processes, whatever calls take or lose", () => {
		const move: fc.Arbitrary<Move> = fc.record({
			running: fc.constantFrom([0], [0], [1], [1], [0, 1], [0, 1, 2]),
			steps: fc.integer({min: 1, max: 60}),
			callMs: fc.constantFrom(1, 5, 50, 900),
			isAnswerLost: fc.constantFrom(false, false, false, true),
			event: fc.constantFrom("", "", "", "", "restart", "copy", "return")
		})
		fc.assert(
			fc.property(fc.array(move, {maxLength: 40}), moves => {
				const store = new Store()
				let started = 0
				const processes = ["a", "b", "c"].map(
					owner => new Process(owner, store, -10_000)
				)
				let now = 0
				for (const {running, steps, callMs, isAnswerLost, event} of moves) {
					if (event === "restart") {
						started += 1
						processes[0] = new Process(`p${started}`, store, undefined, "a")
					} else if (event === "copy") store.saveCopy()
					else if (event === "return") store.returnToCopy()
					for (let step = 0; step < steps; step += 1) {
						now += 40
						for (const index of running)
							processes[index]?.step(now, callMs, isAnswerLost)
						const holders = processes.filter(({lease}) => lease.isHeld(now))
						expect(holders.length).toBeLessThanOrEqual(1)
					}
				}
			}),
			{numRuns: 500, seed: 28, examples: [[reissuedRevision]]}
		)
	})

	it("is taken over when its holder has gone, after its time and not before", () => {
		const store = new Store()
		const first = new Process("a", store, 0)
		for (let now = 3000; now < 3100; now += 10) first.step(now, 1, false)
		expect(first.lease.isHeld(3100)).toBe(true)
		const second = new Process("b", store, 0)
		let takenAt = 0
		for (let now = 3100; now < 8000 && takenAt === 0; now += 10) {
			second.step(now, 1, false)
			if (second.lease.isHeld(now)) takenAt = now
		}
		expect(takenAt).toBeGreaterThan(3100 + times.ttlMs)
		expect(takenAt).toBeLessThan(3100 + times.ttlMs + times.marginMs + 500)
		expect(second.lease.otherHolder).toBeUndefined()
	})

	it("passes at once to a process that starts on the same host", () => {
		const store = new Store()
		const first = new Process("a", store, 0)
		for (let now = 3000; now < 6000; now += 10) first.step(now, 1, false)
		const second = new Process("a2", store, undefined, "a")
		for (let now = 6000; now < 6100; now += 10) second.step(now, 1, false)
		expect(second.lease.isHeld(6100)).toBe(true)
		expect(second.lease.hasPredecessor).toBe(true)
	})

	it("is one term as long as nobody else has held it", () => {
		const store = new Store()
		const first = new Process("a", store, 0)
		for (let now = 3000; now < 3100; now += 10) first.step(now, 1, false)
		const {term} = first.lease
		for (let now = 4000; now < 4900; now += 10) first.step(now, 1, true)
		for (let now = 9000; now < 9100; now += 10) first.step(now, 1, false)
		expect(first.lease.isHeld(9100)).toBe(true)
		expect(first.lease.term).toBe(term)
		const second = new Process("b", store, 0)
		for (let now = 9100; now < 12_000; now += 10) second.step(now, 1, false)
		for (let now = 12_000; now < 16_000; now += 10) first.step(now, 1, false)
		expect(first.lease.isHeld(16_000)).toBe(true)
		expect(first.lease.term).toBe(term + 1)
	})

	it("begins late for a process that may not know of a return from a copy", () => {
		const store = new Store()
		const first = new Process("a", store, 0)
		store.saveCopy()
		for (let now = 3000; now < 3100; now += 10) first.step(now, 1, false)
		store.returnToCopy()
		const second = new Process("b", store)
		for (let now = 3110; now < 9000; now += 10) {
			second.step(now, 1, false)
			const isBoth = first.lease.isHeld(now) && second.lease.isHeld(now)
			expect(isBoth).toBe(false)
		}
		expect(second.lease.isHeld(9000)).toBe(true)
	})

	it("is kept by a holder that renews it in time", () => {
		const process = new Process("a", new Store(), 0)
		for (let now = 3000; now < 20_000; now += 10) {
			process.step(now, 5, false)
			if (now > 3100) expect(process.lease.isHeld(now)).toBe(true)
		}
	})

	it("ends by itself while the store is away", () => {
		const process = new Process("a", new Store(), 0)
		for (let now = 3000; now < 3100; now += 10) process.step(now, 1, false)
		expect(process.lease.isHeld(3000 + times.ttlMs - 1)).toBe(true)
		expect(process.lease.isHeld(3100 + times.ttlMs)).toBe(false)
	})
})

describe("the permits of a pool", () => {
	it.each([4, 360])("keep %i gateways together to each limit", gateways => {
		const issuer = new PermitIssuer()
		const rates = new Map([
			["p1", 1.2],
			["p2", 5]
		])
		const candidates = [...rates].map(([id, perSecond]) => ({
			id,
			bornAt: 1,
			perSecond
		}))
		const sent: {id: string; at: number}[] = []
		const intervalMs = 1000 / gateways
		for (let now = 0; now < 12_000; now += intervalMs) {
			const query = {candidates, maxWaitMs: 80, deadline: now + 1500}
			const permit = issuer.issue(query, now)
			if ("endpointId" in permit)
				sent.push({id: permit.endpointId, at: now + permit.waitMs})
		}
		for (const [id, perSecond] of rates) {
			const at = sent.filter(one => one.id === id).map(one => one.at)
			for (const start of at) {
				const within = at.filter(t => t >= start && t < start + 4000)
				expect(within.length).toBeLessThanOrEqual(perSecond * 4.1 + 1)
			}
		}
		expect(sent.length).toBeGreaterThanOrEqual(Math.min(gateways - 1, 6) * 11)
	})

	it("are not needed for an endpoint whose limit has ended", () => {
		const issuer = new PermitIssuer()
		const candidates = [{id: "p1", bornAt: 1, perSecond: undefined}]
		const query = {candidates, maxWaitMs: 0, deadline: 1000}
		expect(issuer.issue(query, 0)).toEqual({endpointId: "p1", waitMs: 0})
		expect(issuer.issue(query, 0)).toEqual({endpointId: "p1", waitMs: 0})
	})
})
