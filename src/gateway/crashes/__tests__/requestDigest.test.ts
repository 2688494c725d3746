/** Attempts of one request that would be taken for different ones, or others for it. */
import {describe, expect, it} from "vitest"
import type {Member} from "../../../contract/fleet.js"
import type {RequestHead} from "../../wire.js"
import {computeRequestDigest} from "../requestDigest.js"

const member: Member = {
	name: "club-1",
	keys: [],
	priority: undefined,
	quota: undefined
}

function digest(
	changes: Partial<RequestHead> = {},
	{body = "", of = undefined as Member | undefined} = {}
): string {
	const head: RequestHead = {
		id: "r1",
		method: "GET",
		target: "/orders/12?full=1",
		host: "orders.example",
		path: "/orders/12",
		headers: ["X-Request-Id", "r1"],
		patienceMs: 800,
		generation: undefined,
		statedTokens: undefined,
		resumption: undefined,
		credential: undefined,
		...changes
	}
	return computeRequestDigest({
		exchange: {head},
		member: of,
		body: Buffer.from(body)
	})
}

describe("the digest of a request", () => {
	it("is the same for each attempt, whatever its id and deadline are", () => {
		const headers = ["X-Request-Id", "r2"]
		expect(digest({id: "r2", headers, patienceMs: 300})).toBe(digest())
	})

	it("differs with path, caller and body", () => {
		const all = [
			digest(),
			digest({method: "POST"}),
			digest({target: "/orders/12"}),
			digest({host: "other.example"}),
			digest({headers: ["Authorization", "Bearer x"]}),
			digest({}, {of: member}),
			digest({}, {body: "x"}),
			digest({method: "GE", host: "Torders.example"})
		]
		expect(new Set(all).size).toBe(all.length)
	})
})
