import {describe, expect, it} from "vitest"
import {
	Access,
	type AccessQuery,
	ConfigProof,
	ContinuousTime,
	decideAccess,
	getMaxProofAgeMs
} from "../index.js"

const revokeMs = 5000
const maxProofAgeMs = getMaxProofAgeMs(revokeMs)

/** A host with both clocks, on which the test moves time. */
class Host {
	readonly proof = new ConfigProof()
	private readonly time = new ContinuousTime()
	private at = 1000
	private wallAt = 1_700_000_000_000

	get now(): number {
		return this.time.read({at: this.at, wallAt: this.wallAt})
	}

	get isProven(): boolean {
		return this.proof.getAgeMs(this.now) < maxProofAgeMs
	}

	run(ms: number): void {
		this.at += ms
		this.wallAt += ms
	}

	suspend(ms: number): void {
		this.wallAt += ms
	}

	stepWall(ms: number): void {
		this.wallAt += ms
	}

	/** Reads the store; the answer takes `ms`. */
	read(ms: number): void {
		const sentAt = this.now
		this.run(ms)
		this.proof.applyRead(sentAt)
	}
}

describe("proof by reads of the store", () => {
	it("lasts for less than the time in which a key must be revoked", () => {
		const host = new Host()
		expect(host.isProven).toBe(false)
		host.read(0)
		host.run(4499)
		expect(host.isProven).toBe(true)
		host.run(1)
		expect(host.isProven).toBe(false)
	})

	it("is of the time at which the read was sent: an answer may be late", () => {
		const host = new Host()
		host.read(4400)
		expect(host.isProven).toBe(true)
		host.run(100)
		expect(host.isProven).toBe(false)
	})

	it("is not lost to a late answer to an earlier read", () => {
		const host = new Host()
		const sentAt = host.now
		host.run(3000)
		host.read(10)
		host.proof.applyRead(sentAt)
		host.run(4000)
		expect(host.isProven).toBe(true)
	})

	it("ends while the store is away and is back with the next read", () => {
		const host = new Host()
		host.read(10)
		host.run(20_000)
		expect(host.isProven).toBe(false)
		host.read(10)
		expect(host.isProven).toBe(true)
	})
})

describe("a host that is frozen", () => {
	it("counts the time for which it was suspended", () => {
		const host = new Host()
		host.read(10)
		host.suspend(4600)
		expect(host.isProven).toBe(false)
		host.read(10)
		expect(host.isProven).toBe(true)
	})

	it("counts a suspension while the answer was on its way", () => {
		const host = new Host()
		const sentAt = host.now
		host.suspend(4600)
		host.proof.applyRead(sentAt)
		expect(host.isProven).toBe(false)
	})

	it("counts many suspensions that are each too short to be told from a step", () => {
		const host = new Host()
		host.read(0)
		for (let n = 0; n < 20; n += 1) {
			host.suspend(300)
			host.run(10)
			expect(host.now).toBeGreaterThan(0)
		}
		expect(host.isProven).toBe(false)
	})

	it("leaves the margin to suspensions that are not counted", () => {
		const host = new Host()
		host.read(0)
		host.suspend(400)
		host.run(4499)
		// 4,899 ms have passed.
		expect(host.isProven).toBe(true)
		host.run(1)
		expect(host.isProven).toBe(false)
	})
})

describe("a step of the time of day", () => {
	it.each([500, 3_600_000])("of %i ms forward extends no proof", stepMs => {
		const host = new Host()
		host.read(10)
		host.stepWall(stepMs)
		host.run(4500)
		expect(host.isProven).toBe(false)
	})

	it("back extends no proof", () => {
		const host = new Host()
		host.read(10)
		host.stepWall(-3_600_000)
		expect(host.isProven).toBe(true)
		host.run(4500)
		expect(host.isProven).toBe(false)
	})

	it("back hides no suspension after it", () => {
		const host = new Host()
		host.read(10)
		host.stepWall(-10_000)
		expect(host.isProven).toBe(true)
		host.suspend(4600)
		expect(host.isProven).toBe(false)
	})

	it("forward is over with the next read", () => {
		const host = new Host()
		host.read(10)
		host.stepWall(3_600_000)
		expect(host.isProven).toBe(false)
		host.read(10)
		expect(host.isProven).toBe(true)
	})
})

describe("proof by another gateway", () => {
	/** Asks a gateway whose proof is `ageMs` old when it answers. */
	function ask(
		host: Host,
		answer: {version: number; ageMs: number | undefined},
		ms = 10,
		knownVersion = 7
	): boolean {
		const askedAt = host.now
		host.run(ms)
		return host.proof.applyConfirmation({...answer, askedAt}, knownVersion)
	}

	it("is of the time of the question less the age of the other's proof", () => {
		const host = new Host()
		expect(ask(host, {version: 7, ageMs: 1000}, 500)).toBe(true)
		expect(host.proof.getAgeMs(host.now)).toBe(1500)
	})

	it("can't be extended by a message that was delayed", () => {
		const host = new Host()
		ask(host, {version: 7, ageMs: 1000}, 4000)
		expect(host.isProven).toBe(false)
	})

	it("can't be extended by an age below zero", () => {
		const host = new Host()
		ask(host, {version: 7, ageMs: -60_000})
		expect(host.proof.getAgeMs(host.now)).toBe(10)
	})

	it("counts for a later version only once that is in force", () => {
		const host = new Host()
		expect(ask(host, {version: 8, ageMs: 0})).toBe(false)
		expect(host.isProven).toBe(false)
		host.proof.applyVersion(7)
		expect(host.isProven).toBe(false)
		host.run(200)
		host.proof.applyVersion(8)
		expect(host.proof.getAgeMs(host.now)).toBe(210)
	})

	it("does not come from a gateway that has none", () => {
		const host = new Host()
		expect(ask(host, {version: 7, ageMs: undefined})).toBe(false)
		expect(host.isProven).toBe(false)
	})

	it("grows old while gateways without the store confirm each other", () => {
		const [one, two] = [new Host(), new Host()]
		one.read(0)
		for (let n = 0; n < 50; n += 1) {
			for (const [asker, asked] of [
				[two, one],
				[one, two]
			] as const) {
				const ageMs = asked.proof.getAgeMs(asked.now)
				const askedAt = asker.now
				one.run(50)
				two.run(50)
				asker.proof.applyConfirmation({version: 7, ageMs, askedAt}, 7)
			}
		}
		expect([one.isProven, two.isProven]).toEqual([false, false])
	})
})

describe("the decision on a request", () => {
	function decide(change: Partial<AccessQuery>): Access {
		return decideAccess({
			hasKey: true,
			isKnown: true,
			wasAccepted: false,
			proofAgeMs: 0,
			maxProofAgeMs,
			...change
		})
	}

	it.each([
		[{proofAgeMs: 4499}, Access.Permitted],
		[{proofAgeMs: 4500}, Access.Unproven],
		[{proofAgeMs: Infinity}, Access.Unproven],
		[{proofAgeMs: Infinity, maxProofAgeMs: undefined}, Access.Permitted],
		[{hasKey: false, isKnown: false}, Access.MissingKey],
		[{isKnown: false}, Access.UnknownKey],
		[{isKnown: false, proofAgeMs: 2600}, Access.UnprovenKey],
		[
			{isKnown: false, proofAgeMs: Infinity, maxProofAgeMs: undefined},
			Access.UnprovenKey
		],
		[{isKnown: false, wasAccepted: true, proofAgeMs: 9000}, Access.RemovedKey]
	])("with %j is %s", (change, access) => {
		expect(decide(change)).toBe(access)
	})
})
