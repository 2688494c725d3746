import {describe, expect, it} from "vitest"
import {CallEnd, type CallRecord} from "../callers.js"
import {describeAnswers} from "../evidence.js"

function createCall(
	sentAt: number,
	status: number,
	reason?: string
): CallRecord {
	const end = status === 200 ? CallEnd.Answered : CallEnd.Refused
	const gateway = "127.1.4.1:9200"
	const call = {id: "c1", kind: "book", gateway, end, endedAt: sentAt}
	return {...call, sentAt, status, reason}
}

describe("the evidence of a soak", () => {
	it("tells by the second what callers got, so that a refusal shows its reason", () => {
		const records = [
			createCall(900, 200),
			createCall(3100, 200),
			createCall(1100, 503, "no configuration yet"),
			createCall(1200, 503, "no configuration yet"),
			createCall(1300, 200)
		]
		expect(describeAnswers(records, 1000)).toEqual([
			"0: 2 x 503 no configuration yet, 1 x 200; not 200: 2 x book at 127.1.4.1:9200",
			"2: 1 x 200"
		])
	})
})
