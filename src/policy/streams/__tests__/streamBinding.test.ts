import {describe, expect, it} from "vitest"
import {StreamBinding} from "../index.js"

describe("a stream", () => {
	it("may begin at any build, and goes on at its first one only", () => {
		const binding = new StreamBinding()
		expect(binding.permits("v1")).toBe(true)
		expect(binding.permits(undefined)).toBe(true)
		binding.bind("v1")
		binding.bind("v2")
		expect(binding.permits("v1")).toBe(true)
		expect(binding.permits("v2")).toBe(false)
		expect(binding.permits(undefined)).toBe(false)
	})

	it("goes on nowhere else until its first build is known", () => {
		const binding = new StreamBinding()
		binding.bind(undefined)
		expect(binding.isKnown).toBe(false)
		expect(binding.permits("v1")).toBe(false)
		expect(binding.permits(undefined)).toBe(false)
		binding.bind("v1")
		expect(binding.isKnown).toBe(true)
		expect(binding.permits("v1")).toBe(true)
	})
})
