import {describe, expect, it} from "vitest"
import fc from "fast-check"
import {type AnswerAccount, AnswerLedger} from "../answerLedger.js"

const bounds = {maxBytes: 100, smallBytes: 10}
/** The limit for one answer. */
const answerBytes = 60
const seed = 54

describe("answers that together hold more than they may", () => {
	// Guards against an answer that slowly fills the memory and holds up all others.
	it("let small ones go on", () => {
		const ledger = new AnswerLedger(bounds)
		const [first, second, small] = [ledger.open(), ledger.open(), ledger.open()]
		ledger.add(first, 50)
		ledger.add(second, 50)
		ledger.add(small, 9)
		expect([first, second, small].map(one => ledger.mayGrow(one))).toEqual([
			true,
			false,
			true
		])
		ledger.close(first)
		expect(ledger.mayGrow(second)).toBe(true)
	})

	// Guards against answers that wait for each other, and against ones that don't wait.
	it(`all end, within the bound, however their parts come (seed ${seed})`, () => {
		const property = fc.property(
			fc.array(fc.nat(7), {minLength: 50, maxLength: 400}),
			turns => {
				const ledger = new AnswerLedger(bounds)
				const left = Array.from({length: 8}, () => ledger.open())
				const read = (account: AnswerAccount): void => {
					ledger.add(account, 5)
					if (account.bytes < answerBytes) return
					ledger.close(account)
					left.splice(left.indexOf(account), 1)
				}
				for (const turn of turns) {
					const account = left[turn % Math.max(1, left.length)]
					if (account !== undefined && ledger.mayGrow(account)) read(account)
					expect(ledger.totalBytes).toBeLessThan(100 + 60 + 8 * 10)
				}
				while (left.length > 0) {
					const next = left.find(account => ledger.mayGrow(account))
					if (next === undefined) throw new Error("all wait")
					read(next)
				}
				expect(ledger.totalBytes).toBe(0)
			}
		)
		fc.assert(property, {seed})
	})
})
