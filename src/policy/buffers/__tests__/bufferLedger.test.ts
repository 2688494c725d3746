import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {BufferLedger, BufferPart} from "../index.js"

const {Upload, Request, Answer, Output} = BufferPart

function createLedger(): BufferLedger {
	return new BufferLedger({maxBytes: 1000, minWaitMs: 500})
}

describe("BufferLedger", () => {
	it("chooses the caller with the most bytes times waiting time", () => {
		const ledger = createLedger()
		const [old, large, fresh] = [ledger.open(), ledger.open(), ledger.open()]
		old.add(Output, 5, 0)
		large.add(Output, 400, 8000)
		fresh.add(Output, 800, 9900)
		expect(ledger.isOver).toBe(true)
		expect(ledger.choose(10_000)).toEqual({
			account: large,
			part: Output,
			bytes: 400,
			waitedMs: 2000
		})
	})

	it("spares a caller that reads on, and one that reads too slowly it does not", () => {
		const ledger = createLedger()
		const [quick, slow] = [ledger.open(), ledger.open()]
		slow.add(Output, 600, 0)
		for (let now = 0; now <= 5000; now += 100) {
			quick.add(Output, 500, now)
			quick.remove(Output, 500)
			// Progress with each step, yet the first byte waits ever longer.
			slow.add(Output, 100, now)
			slow.remove(Output, 50)
		}
		quick.add(Output, 900, 5000)
		expect(ledger.choose(5000)?.account).toBe(slow)
	})

	it("ends slow callers before requests that wait for an endpoint", () => {
		const ledger = createLedger()
		const [waiting, upload] = [ledger.open(), ledger.open()]
		waiting.add(Request, 900, 0)
		upload.add(Upload, 200, 4000)
		expect(ledger.choose(5000)?.account).toBe(upload)
		ledger.close(upload)
		waiting.add(Answer, 200, 4000)
		expect(ledger.choose(5000)).toMatchObject({account: waiting, part: Request})
	})

	it("does not end slow callers with a few bytes while bodies fill the bound", () => {
		const ledger = new BufferLedger({maxBytes: 100_000, minWaitMs: 500})
		const [reader, waiting] = [ledger.open(), ledger.open()]
		reader.add(Output, 99, 0)
		waiting.add(Request, 100_000, 4000)
		expect(ledger.choose(5000)?.account).toBe(waiting)
		reader.add(Output, 1, 0)
		expect(ledger.choose(5000)?.account).toBe(reader)
	})

	it("chooses the largest if nobody is slow", () => {
		const ledger = createLedger()
		const [small, large] = [ledger.open(), ledger.open()]
		large.add(Output, 700, 0)
		small.add(Output, 400, 0)
		expect(ledger.choose(0)?.account).toBe(large)
	})

	it("chooses nobody without bytes, however often accounts opened", () => {
		const ledger = createLedger()
		ledger.open()
		expect(ledger.choose(1e6)).toBeUndefined()
	})

	it("counts to zero whatever is added, removed and closed in which order", () => {
		const parts = [Upload, Request, Answer, Output]
		const steps = fc.array(
			fc.tuple(fc.nat(3), fc.nat(3), fc.nat(5000), fc.boolean())
		)
		fc.assert(
			fc.property(steps, all => {
				const ledger = createLedger()
				const accounts = parts.map(() => ledger.open())
				all.forEach(([who, what, bytes, isAdded], now) => {
					const account = accounts[who]
					const part = parts[what]
					if (account === undefined || part === undefined) return
					if (isAdded) account.add(part, bytes, now * 20)
					else account.remove(part, bytes)
					const sum = accounts.flatMap(one =>
						parts.map(each => one.getBytes(each))
					)
					expect(ledger.totalBytes).toBe(sum.reduce((a, b) => a + b, 0))
				})
				// Ends as long as the bound is exceeded, and no later.
				while (ledger.needsRelief) {
					const victim = ledger.choose(1e6)
					expect(victim).toBeDefined()
					if (victim === undefined) return
					ledger.close(victim.account)
				}
				for (const account of accounts) ledger.close(account)
				expect(ledger.totalBytes).toBe(0)
			})
		)
	})
})
