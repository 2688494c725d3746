import {describe, expect, it} from "vitest"
import type {FleetConfig, Member} from "../../../contract/fleet.js"
import {
	decodePublishedConfig,
	encodePublishedConfig
} from "../publishedConfig.js"

const member: Member = {
	name: "ministry",
	keys: ["k"],
	priority: undefined,
	quota: undefined
}

function createConfig(members: FleetConfig["members"]): FleetConfig {
	const limits = {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1
	}
	return {version: 3, routes: [], pools: [], limits, members}
}

describe("a configuration passed between gateways", () => {
	it.each([{members: undefined}, {members: [member]}])(
		"keeps its Members: %j",
		({members}) => {
			const config = createConfig(members)
			const bytes = encodePublishedConfig(config)
			expect(decodePublishedConfig(bytes)?.members).toEqual(members)
		}
	)

	it("shows no key in the error of bytes that are cut", () => {
		const bytes = encodePublishedConfig(
			createConfig([{...member, keys: ["key-7"]}])
		)
		const at = Buffer.from(bytes).indexOf("key-7") + "key-7".length
		const decode = (): unknown =>
			decodePublishedConfig(
				Buffer.concat([bytes.subarray(0, at), Buffer.from('",@')])
			)
		expect(decode).toThrow("not valid JSON")
		expect(decode).not.toThrow("key-7")
	})

	it("is not used when the other gateway's build doesn't know Members", () => {
		// JSON of undefined has no field, as a build without Members writes it.
		const bytes = Buffer.from(JSON.stringify(createConfig(undefined)))
		expect(decodePublishedConfig(bytes)).toBeUndefined()
	})
})
