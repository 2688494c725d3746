import {afterEach, beforeEach, expect, test} from "vitest"
import {type ServiceStandin, startService} from "../index.js"
import {type Reply, send} from "./client.js"

let service: ServiceStandin

beforeEach(async () => {
	service = await startService({callMs: 1, checksOrders: true})
})

afterEach(() => service.close())

function book(order: string, headers: object = {}): Promise<Reply> {
	const body = {order, slot: "s1"}
	const all = {"x-fencing-number": "1", ...headers}
	return send("POST", `${service.url}/bookings`, body, all)
}

async function readStatus(path: string): Promise<unknown> {
	return (await send("GET", service.url + path)).body
}

test("executes a booking and changes the order's status", async () => {
	expect(await readStatus("/orders/o1")).toEqual({id: "o1", status: "open"})
	const {status, body} = await book("o1")
	expect(status).toBe(200)
	expect(body).toEqual({booking: "booking-1", order: "o1", slot: "s1"})
	expect(await readStatus("/orders/o1")).toEqual({id: "o1", status: "booked"})
})

test("executes a filing and changes its status", async () => {
	const headers = {"x-fencing-number": "1"}
	const url = `${service.url}/filings`
	const {body} = await send("POST", url, {order: "f1"}, headers)
	expect(body).toEqual({filing: "filing-1", order: "f1"})
	expect(await readStatus("/filings/filing-1")).toMatchObject({
		status: "lodged"
	})
	expect(await readStatus("/filings/f1")).toMatchObject({status: "lodged"})
})

test("counts repeated calls without deduplicating them", async () => {
	const headers = {"idempotency-key": "k", "x-request-id": "r"}
	await book("o1", headers)
	await book("o1", headers)
	expect(service.truth()).toMatchObject({
		runs: 2,
		runsByKey: {k: 2},
		runsByRequest: {r: 2},
		runsByBody: {o1: 2},
		peakConcurrent: 1
	})
})

test("rejects a stale fencing token without executing the call", async () => {
	await book("o1", {"x-fencing-number": "5"})
	const {status, body} = await book("o2", {"x-fencing-number": "4"})
	expect(status).toBe(409)
	expect(body).toMatchObject({highest: 5})
	expect((await book("o3", {"x-fencing-number": ""})).status).toBe(400)
	expect(service.truth()).toMatchObject({runs: 1, staleOrdersRefused: 1})
})

test("answers 503 or cuts the socket before the call is executed", async () => {
	service.setFaults({failBefore: 1})
	const refused = await book("o1")
	expect(refused.status).toBe(503)
	expect(refused.headers["x-not-run"]).toBe("true")
	service.setFaults({cutBefore: 1})
	await expect(book("o1")).rejects.toThrow()
	expect(service.truth().runs).toBe(0)
	expect((await book("o1")).status).toBe(200)
})

test("executes a call whose socket is cut before the answer", async () => {
	service.setFaults({cutAfter: 1, faultPath: "/bookings"})
	expect(await readStatus("/orders/o1")).toMatchObject({status: "open"})
	await expect(book("o1")).rejects.toThrow()
	expect(service.truth().runsByBody).toEqual({o1: 1})
	expect(await readStatus("/orders/o1")).toMatchObject({status: "booked"})
})
