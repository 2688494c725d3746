import {describe, expect, it} from "vitest"
import {type StreamOrigin, StreamOrigins} from "../index.js"

function createOrigin(
	requestId: string,
	expiresAt: number,
	build = "v1"
): StreamOrigin {
	return {requestId, pool: "writers", build, expiresAt}
}

describe("the origins of streams", () => {
	it("are known until no caller resumes the stream", () => {
		const origins = new StreamOrigins(10)
		origins.add(createOrigin("a", 100), 0)
		expect(origins.find("a", 99)?.build).toBe("v1")
		expect(origins.find("a", 100)).toBeUndefined()
		expect(origins.find("b", 0)).toBeUndefined()
	})

	it("keep the build that began the stream", () => {
		const origins = new StreamOrigins(10)
		origins.add(createOrigin("a", 100), 0)
		origins.add(createOrigin("a", 50, "v2"), 10)
		expect(origins.find("a", 60)).toEqual(createOrigin("a", 100))
	})

	it("are bounded, also while none has expired", () => {
		const origins = new StreamOrigins(2)
		for (const id of ["a", "b", "c"]) origins.add(createOrigin(id, 100), 0)
		expect(origins.list("writers", 0).map(({requestId}) => requestId)).toEqual([
			"b",
			"c"
		])
	})

	it("are listed for one pool, without those that have expired", () => {
		const origins = new StreamOrigins(9)
		origins.add(createOrigin("a", 100), 0)
		origins.add(createOrigin("b", 200), 0)
		origins.add({...createOrigin("c", 300), pool: "desk"}, 0)
		expect(origins.list("writers", 150)).toEqual([createOrigin("b", 200)])
	})
})
