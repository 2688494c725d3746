import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {
	CrashRecords,
	type CrashReport,
	createRequestPart,
	hasSuspect,
	judgePrompt,
	listAccusedParts,
	PromptVerdict
} from "../index.js"

function crash(at: number, parts: Partial<CrashReport> = {}): CrashReport {
	return {
		endpointId: `i-${at}`,
		bornAt: 1,
		at,
		begunParts: [],
		waitingParts: [],
		answeredParts: [],
		...parts
	}
}

function judge(records: CrashRecords, parts: string[], now: number): string {
	return judgePrompt(records, parts, {now}).verdict
}

/** Records in which requests with `parts` were at a crash a second. */
function createRecords(count: number, ...parts: string[]): CrashRecords {
	const records = new CrashRecords()
	for (let i = 0; i < count; i += 1) {
		const at = i * 1000
		records.mergeCrash(crash(at, {begunParts: parts}), at)
	}
	return records
}

describe("parts of prompts at crashes", () => {
	it("are turned away after the second crash, not after one", () => {
		expect(judge(createRecords(1, "bad"), ["bad"], 500)).toBe("clear")
		expect(judge(createRecords(2, "bad"), ["bad"], 1500)).toBe("turnAway")
	})

	it("are not turned away for engines that crash at one moment", () => {
		const records = new CrashRecords()
		for (const endpointId of ["i-1", "i-2", "i-3"]) {
			const report = crash(1000, {endpointId, waitingParts: ["common"]})
			records.mergeCrash(report, 1000)
		}
		expect(judge(records, ["common"], 1100)).toBe("clear")
	})

	it("are cleared by an answer after the crash, not by one before", () => {
		const records = createRecords(2, "sys", "bad")
		records.addAnswer(["sys"], -1, 1500)
		expect(listAccusedParts(records)).toEqual(["bad", "sys"])
		records.addAnswer(["sys"], 1500, 1500)
		expect(listAccusedParts(records)).toEqual(["bad"])
	})

	it("are cleared also if the report comes after the answer", () => {
		const records = new CrashRecords()
		records.addAnswer(["sys"], 500, 500)
		const report = crash(400, {begunParts: ["sys", "bad"]})
		const {correction} = records.mergeCrash(report, 600)
		expect(correction?.answeredParts).toEqual(["sys"])
		expect(hasSuspect(records, ["sys"])).toBe(false)
	})

	it("that waited are explained by one whose answer had begun", () => {
		const records = new CrashRecords()
		const report = crash(0, {begunParts: ["bad"], waitingParts: ["rare"]})
		records.mergeCrash(report, 0)
		expect(hasSuspect(records, ["rare"])).toBe(false)
		expect(hasSuspect(records, ["bad"])).toBe(true)
		records.addAnswer(["bad"], 100, 100)
		expect(hasSuspect(records, ["rare"])).toBe(true)
	})

	it("that are there less often are explained by the one that always is", () => {
		const records = new CrashRecords()
		for (let i = 0; i < 3; i += 1) {
			const begunParts = ["bad", `rare${Math.floor(i / 2)}`]
			records.mergeCrash(crash(i * 1000, {begunParts}), i * 1000)
		}
		// Twice at a crash, with one that was there three times.
		expect(listAccusedParts(records)).toEqual(["bad"])
	})

	it("are found out when two of them crash engines", () => {
		const records = new CrashRecords()
		for (let i = 0; i < 6; i += 1) {
			const begunParts = ["sys", `bad${i % 2}`]
			records.mergeCrash(crash(i * 1000, {begunParts}), i * 1000)
		}
		records.addAnswer(["sys"], 5500, 5500)
		expect(listAccusedParts(records).sort()).toEqual(["bad0", "bad1"])
	})
})

describe("a caller that sends another's part with one that crashes engines", () => {
	it("has nobody else turned away", () => {
		const records = createRecords(4, "victim", "bad")
		expect(judge(records, ["victim", "bad"], 4000)).toBe("turnAway")
		expect(judge(records, ["victim"], 4000)).toBe("clear")
		records.addAnswer(["victim"], 4100, 4100)
		expect(judge(records, ["bad"], 4200)).toBe("turnAway")
	})

	it("doesn't reach them by trials either", () => {
		const records = createRecords(2, "victim", "bad")
		records.addTrial("victim", 3100)
		records.addTrial("bad", 3100)
		expect(judge(records, ["victim"], 3200)).toBe("clear")
	})
})

describe("a trial", () => {
	it("is made by one request, and later after each crash", () => {
		const records = createRecords(2, "bad")
		expect(judge(records, ["bad"], 2900)).toBe("turnAway")
		expect(judge(records, ["bad"], 3000)).toBe("trial")
		records.addTrial("bad", 3000)
		expect(judge(records, ["bad"], 3001)).toBe("turnAway")
		records.mergeCrash(crash(3200, {begunParts: ["bad"]}), 3200)
		expect(judge(records, ["bad"], 7100)).toBe("turnAway")
		expect(judge(records, ["bad"], 7200)).toBe("trial")
	})

	it("ends the charge with an answer", () => {
		const records = createRecords(5, "bad")
		records.addAnswer(["bad"], 30_000, 30_000)
		expect(judge(records, ["bad"], 30_000)).toBe("clear")
	})

	it("that was never run is made again", () => {
		const records = createRecords(2, "bad")
		records.addTrial("bad", 3000)
		expect(judge(records, ["bad"], 7000)).toBe("trial")
	})

	it("takes at most three engines in two minutes after the fifth crash", () => {
		const records = createRecords(5, "bad")
		const from = 4000
		let crashes = 0
		for (let now = from; now < from + 120_000; now += 100) {
			if (judge(records, ["bad"], now) !== PromptVerdict.Trial.toString())
				continue
			records.addTrial("bad", now)
			const report = crash(now + 50, {begunParts: ["bad"]})
			records.mergeCrash(report, now + 50)
			crashes += 1
		}
		expect(crashes).toBeLessThanOrEqual(3)
	})
})

/** Two requests, each as a whole. */
const bad = createRequestPart("bad")
const other = createRequestPart("other")

describe("a request that crashes engines as a whole", () => {
	const crashAt = (
		at: number,
		changes: Partial<CrashReport> = {}
	): CrashReport => crash(at, {begunParts: [bad], ...changes})

	function createSequence(
		changes: Partial<CrashReport>,
		alone?: CrashReport
	): CrashRecords {
		const records = new CrashRecords()
		records.mergeCrash(crashAt(0), 0)
		records.mergeCrash(crashAt(86, changes), 86)
		if (alone !== undefined) records.mergeCrash(alone, 90)
		return records
	}

	it("is not spared because its repeat crashes the second one soon after", () => {
		const records = createSequence({repeatedParts: [bad]})
		expect(judge(records, [bad], 100)).toBe("turnAway")
	})

	it("is not turned away for engines that crash together", () => {
		expect(judge(createSequence({}), [bad], 100)).toBe("clear")
		const alone = crash(90)
		const records = createSequence({repeatedParts: [bad]}, alone)
		expect(judge(records, [bad], 100)).toBe("clear")
	})

	it("is not charged with what a shared part explains, nor the part with it", () => {
		const records = new CrashRecords()
		for (let i = 0; i < 2; i += 1) {
			const own = createRequestPart(`own${i}`)
			const report = crash(i * 1000, {begunParts: ["part", own]})
			records.mergeCrash(report, i * 1000)
		}
		expect(listAccusedParts(records)).toEqual(["part"])
	})

	it("is told from one that was always beside it, one attempt at a time", () => {
		const records = createRecords(2, bad, other)
		expect(judge(records, [other], 1100)).toBe("trial")
		records.addTrial(other, 1100)
		expect(judge(records, [other], 1110)).toBe("turnAway")
		records.addAnswer([other], 1200, 1200)
		expect(judge(records, [other], 1200)).toBe("clear")
		expect(judge(records, [bad], 1200)).toBe("turnAway")
	})

	it("is sent three times at most after the third crash", () => {
		const records = createRecords(2, bad)
		const crashes = [0, 1000]
		for (let now = 1001; now < 7_000_000; now += 100) {
			if (judge(records, [bad], now) === "turnAway") continue
			records.addTrial(bad, now)
			records.mergeCrash(crashAt(now + 50), now + 50)
			crashes.push(now + 50)
		}
		expect(crashes.length).toBeLessThanOrEqual(6)
		expect(crashes.length).toBeGreaterThan(3)
	})

	it("is cleared by the answer of its trial", () => {
		const records = createRecords(2, bad)
		expect(judge(records, [bad], 3000)).toBe("trial")
		records.addAnswer([bad], 3100, 3100)
		expect(judge(records, [bad], 3100)).toBe("clear")
		expect(records.suspectsRequests).toBe(false)
	})

	it("stays known when requests at many other crashes fill the records", () => {
		const records = createSequence({repeatedParts: [bad]})
		for (let i = 0; i < 1000; i += 1) {
			const at = 2000 + i * 200
			const own = createRequestPart(`own${i}`)
			records.mergeCrash(crash(at, {begunParts: [own]}), at)
		}
		expect(listAccusedParts(records)).toEqual([bad])
	})
})

describe("records of crashes", () => {
	it("are the same whatever the order and number of reports", () => {
		const part = fc.constantFrom("a", "b", bad, other)
		const parts = fc.array(part, {maxLength: 3})
		const report = fc.record({
			endpointId: fc.constantFrom("i-1", "i-2", "i-3"),
			bornAt: fc.constantFrom(1, 2),
			begunParts: parts,
			waitingParts: parts,
			answeredParts: parts,
			repeatedParts: parts
		})
		const charges = (records: CrashRecords): unknown =>
			["a", "b", bad, other].map(id => records.listCharges(id))
		fc.assert(
			fc.property(
				fc.array(report, {maxLength: 12}),
				fc.array(fc.nat(11), {maxLength: 24}),
				(reports, order) => {
					const timed = reports.map(item => ({
						...item,
						// All reports of one crash state its time.
						at: Number(item.endpointId.slice(2)) * 5000 + item.bornAt * 60_000
					}))
					const once = new CrashRecords()
					for (const item of timed) once.mergeCrash(item, 200_000)
					const shuffled = new CrashRecords()
					for (const index of order) {
						const item = timed[index]
						if (item !== undefined) shuffled.mergeCrash(item, 200_000)
					}
					for (const item of [...timed].reverse())
						shuffled.mergeCrash(item, 200_000)
					expect(charges(shuffled)).toEqual(charges(once))
				}
			)
		)
	})

	it("stay bounded, and keep charges when settled crashes fill them", () => {
		const records = createRecords(2, "bad")
		for (let i = 0; i < 5000; i += 1) {
			const at = 2000 + i
			const report = crash(at, {
				begunParts: [`p${i}`],
				answeredParts: [`p${i}`]
			})
			records.mergeCrash(report, at)
			records.addAnswer([`q${i}`], at, at)
			records.addTrial(`t${i}`, at)
		}
		expect(listAccusedParts(records)).toEqual(["bad"])
		expect(records.listTrials().length).toBeLessThanOrEqual(1000)
	})

	it("forget crashes after hours", () => {
		const records = createRecords(3, "bad")
		records.expire(10 * 3600 * 1000)
		expect(listAccusedParts(records)).toEqual([])
		expect(records.listOpen()).toEqual([])
	})
})
