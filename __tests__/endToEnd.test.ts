import {afterAll, beforeAll, expect, test} from "vitest"
import {TestBed} from "./faults/testBed.js"
import {
	bookOrder,
	streamDraft,
	RequestEnd,
	computeExpectedText,
	readStatus
} from "./faults/caller.js"

let bed: TestBed

beforeAll(async () => {
	bed = await TestBed.start()
})

afterAll(async () => {
	await bed.stop()
})

test("starts two entries and endpoint hosts in four failure domains", () => {
	const {entries, endpoints} = bed.deployment
	const domains = new Set(endpoints.map(({failureDomain}) => failureDomain))
	expect(entries).toHaveLength(2)
	expect([...domains].sort()).toEqual(["east", "north", "south", "west"])
})

test("streams a draft, books and reads a status through each entry", async () => {
	for (const [index, url] of bed.deployment.entryUrls.entries()) {
		const options = {adapter: `a-${index}`, prompt: `order ${index}`}
		const streamed = await streamDraft(url, options)
		expect(streamed.end).toBe(RequestEnd.Complete)
		expect(streamed.text).toBe(computeExpectedText(options))

		const order = `whole-${index}`
		const booked = await bookOrder(url, order, {key: `key-${index}`})
		expect(booked.end).toBe(RequestEnd.Complete)
		expect(JSON.parse(booked.body)).toMatchObject({order, slot: "s-1"})
		expect(await bed.countBookings(order)).toBe(1)

		const status = await readStatus(url, order)
		expect(status.end).toBe(RequestEnd.Complete)
		expect(JSON.parse(status.body)).toHaveProperty("id", order)
	}
})
