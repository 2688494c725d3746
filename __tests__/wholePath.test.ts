import {afterAll, beforeAll, expect, test} from "vitest"
import {Bed} from "./faults/bed.js"
import {book, draft, End, expectedDraft, readStatus} from "./faults/caller.js"

let bed: Bed

beforeAll(async () => {
	bed = await Bed.start()
})

afterAll(async () => {
	await bed.stop()
})

test("two entries and endpoint hosts in four failure domains serve", () => {
	const {entries, endpoints} = bed.deployment
	const domains = new Set(endpoints.map(({failureDomain}) => failureDomain))
	expect(entries).toHaveLength(2)
	expect([...domains].sort()).toEqual(["east", "north", "south", "west"])
})

test("each entry streams a draft, books and reads a status", async () => {
	for (const [index, url] of bed.deployment.entryUrls.entries()) {
		const options = {adapter: `a-${index}`, prompt: `order ${index}`}
		const streamed = await draft(url, options)
		expect(streamed.end).toBe(End.Whole)
		expect(streamed.text).toBe(expectedDraft(options))

		const order = `whole-${index}`
		const booked = await book(url, order, {key: `key-${index}`})
		expect(booked.end).toBe(End.Whole)
		expect(JSON.parse(booked.body)).toMatchObject({order, slot: "s-1"})
		expect(await bed.countBookings(order)).toBe(1)

		const status = await readStatus(url, order)
		expect(status.end).toBe(End.Whole)
		expect(JSON.parse(status.body)).toHaveProperty("id", order)
	}
})
