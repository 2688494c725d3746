import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {
	BurnCause,
	type BurnPart,
	createLedger,
	createPart,
	hourMs,
	hourOf,
	listMembers,
	mergeIntoLedger,
	minuteMs,
	otherMember,
	recordSample,
	sumWindow
} from "../burn.js"
import {
	AlertSeverity,
	assessBurn,
	assessMembers,
	budgetPeriodMs
} from "../burnAlerts.js"

const hour = 490_000
const start = hour * hourMs
const level = {name: "drafts", target: 0.99}

interface SampleCounts {
	member?: string
	good?: number
	bad?: number
	cause?: BurnCause
	at?: number
}

function addSamples(part: BurnPart, options: SampleCounts): BurnPart {
	const {member = "club", good = 0, bad = 0, at = start} = options
	const cause = options.cause ?? BurnCause.Queue
	const sample = {serviceLevel: level.name, member, cause, at}
	for (let i = 0; i < good; i++) recordSample(part, {...sample, good: true})
	for (let i = 0; i < bad; i++) recordSample(part, {...sample, good: false})
	return part
}

describe("burn counts", () => {
	it("merges parts idempotently, in any order", () => {
		const sample = fc.record({
			serviceLevel: fc.constantFrom("a", "b"),
			member: fc.constantFrom("x", "y", "z"),
			good: fc.boolean(),
			cause: fc.constantFrom(...Object.values(BurnCause)),
			at: fc.integer({min: start, max: start + hourMs - 1})
		})
		const samples = fc.array(
			fc.tuple(fc.constantFrom("e1.1", "e2.1", "e1.2"), sample)
		)
		fc.assert(
			fc.property(samples, fc.infiniteStream(fc.nat()), (all, sortKeys) => {
				const parts = new Map<string, BurnPart>()
				const copies: BurnPart[] = []
				for (const [recorder, one] of all) {
					const part = parts.get(recorder) ?? createPart(recorder, hour)
					parts.set(recorder, part)
					recordSample(part, one)
					copies.push(structuredClone(part))
				}
				const nextSortKey = (): number => Number(sortKeys.next().value)
				const order = copies.map(part => ({part, sortKey: nextSortKey()}))
				order.sort((a, b) => a.sortKey - b.sortKey)
				const ledger = createLedger()
				for (const {part} of [...order, ...order]) mergeIntoLedger(ledger, part)
				for (const name of ["a", "b"]) {
					const own = all.filter(([, one]) => one.serviceLevel === name)
					const sum = sumWindow(
						ledger,
						{serviceLevel: name},
						start + hourMs - 1,
						hourMs
					)
					expect(sum.good).toBe(own.filter(([, one]) => one.good).length)
					expect(sum.good + sum.bad).toBe(own.length)
				}
			})
		)
	})

	it("leaves the source part unchanged by a merge", () => {
		const part = addSamples(createPart("e1.1", hour), {good: 1})
		const ledger = createLedger()
		mergeIntoLedger(ledger, part)
		mergeIntoLedger(ledger, addSamples(structuredClone(part), {good: 4}))
		expect(part.series.get("drafts\nclub")?.minutes.size).toBe(1)
		const sum = sumWindow(ledger, {serviceLevel: "drafts"}, start, hourMs)
		expect(sum.good).toBe(5)
		const copy = createLedger()
		mergeIntoLedger(copy, part)
		const own = sumWindow(copy, {serviceLevel: "drafts"}, start, hourMs)
		expect(own.good).toBe(1)
	})

	it("counts Members beyond the series limit together, without loss", () => {
		const part = createPart("e1.1", hour)
		for (let i = 0; i < 10; i++) {
			const member = `m${i}`
			const sample = {member, good: true, cause: BurnCause.Queue, at: start}
			recordSample(part, {serviceLevel: "drafts", ...sample}, 3)
		}
		const ledger = createLedger()
		mergeIntoLedger(ledger, part)
		expect(listMembers(ledger, "drafts")).toEqual([
			otherMember,
			"m0",
			"m1",
			"m2"
		])
		const sum = sumWindow(ledger, {serviceLevel: "drafts"}, start, hourMs)
		expect(sum.good).toBe(10)
	})

	it("sums the whole minutes of a window that spans two hours", () => {
		const ledger = createLedger()
		const before = addSamples(createPart("e1.1", hour - 1), {
			bad: 1,
			at: start - minuteMs
		})
		mergeIntoLedger(ledger, before)
		const after = createPart("e1.1", hour)
		for (let i = 0; i < 6; i++)
			addSamples(after, {bad: 1, at: start + i * minuteMs})
		mergeIntoLedger(ledger, after)
		const sum = (at: number, windowMs: number): number =>
			sumWindow(ledger, {serviceLevel: "drafts"}, at, windowMs).bad
		expect(sum(start + 5 * minuteMs, 5 * minuteMs)).toBe(5)
		expect(sum(start + 59_999, 2 * minuteMs)).toBe(2)
		expect(sum(start, hourMs)).toBe(2)
		expect(sum(start - 2 * minuteMs, hourMs)).toBe(0)
	})
})

describe("burn alerts", () => {
	function assess(counts: SampleCounts[]): ReturnType<typeof assessBurn> {
		const ledger = createLedger()
		for (const [index, entry] of counts.entries()) {
			const at = entry.at ?? start
			const part = createPart(`e${index}.1`, hourOf(at))
			mergeIntoLedger(ledger, addSamples(part, entry))
		}
		return assessBurn(ledger, level, start)
	}

	it("pages at 14.4 in both fast windows and not below", () => {
		const at = assess([{good: 856, bad: 144}])
		expect(at.rates.fastShort).toBeCloseTo(14.4)
		expect(at.severity).toBe(AlertSeverity.Page)
		const below = assess([{good: 857, bad: 143}])
		expect(below.severity).toBe(AlertSeverity.Ticket)
	})

	it("opens a ticket at 6 in both slow windows and not below", () => {
		expect(assess([{good: 940, bad: 60}]).severity).toBe(AlertSeverity.Ticket)
		expect(assess([{good: 941, bad: 59}]).severity).toBe(AlertSeverity.None)
	})

	it("ends an alert when the short window has recovered", () => {
		const counts = [
			{good: 100, bad: 100, at: start - 40 * minuteMs},
			{good: 100, at: start}
		]
		const state = assess(counts)
		expect(state.rates.fastLong).toBeGreaterThan(14.4)
		expect(state.severity).toBe(AlertSeverity.None)
	})

	it("raises no alert while only the short window is at the threshold", () => {
		const counts = [
			{good: 10_000, at: start - 20 * minuteMs},
			{bad: 30, at: start}
		]
		expect(assess(counts).rates.fastShort).toBeCloseTo(100)
		expect(assess(counts).severity).toBe(AlertSeverity.None)
	})

	it("raises no alert below three bad requests in the long window", () => {
		expect(assess([{good: 1, bad: 2}]).severity).toBe(AlertSeverity.None)
		expect(assess([{good: 1, bad: 3}]).severity).toBe(AlertSeverity.Page)
	})

	it("computes the remaining budget and when it will be spent", () => {
		const half = assess([{good: 995, bad: 5}])
		expect(half.budgetLeft).toBeCloseTo(0.5)
		expect(half.exhaustedAt).toBeCloseTo(start + budgetPeriodMs, -1)
		expect(assess([{good: 10, bad: 10}]).exhaustedAt).toBe(start)
		expect(assess([{good: 10}]).exhaustedAt).toBeUndefined()
		expect(assess([]).budgetLeft).toBe(1)
	})

	it("reports the leading cause of the last hour, else of the period", () => {
		const old = {bad: 50, cause: BurnCause.Refused, at: start - 3 * hourMs}
		const recent = {bad: 2, cause: BurnCause.LoadStall}
		const minor = {bad: 1, cause: BurnCause.Unknown}
		expect(assess([old, recent, minor]).leadingCause).toBe(BurnCause.LoadStall)
		expect(assess([old]).leadingCause).toBe(BurnCause.Refused)
		expect(assess([]).leadingCause).toBeUndefined()
	})

	it("sorts Members by bad requests, most first", () => {
		const ledger = createLedger()
		const part = createPart("e1.1", hour)
		addSamples(part, {member: "a", good: 9, bad: 1})
		addSamples(part, {member: "b", good: 1, bad: 9})
		mergeIntoLedger(ledger, part)
		const members = assessMembers(ledger, level, start)
		expect(members.map(one => one.member)).toEqual(["b", "a"])
	})
})
