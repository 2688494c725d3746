import {request} from "undici"
import {afterEach, beforeEach, describe, expect, test} from "vitest"
import {
	startEngine,
	startPlatform,
	startService,
	startWeightStore
} from "../index.js"
import {send} from "./client.js"

const standinStarters = {
	platform: () => startPlatform(),
	weightStore: () => startWeightStore(),
	engine: () => startEngine({weightStoreUrl: "http://127.0.0.1:1"}),
	service: () => startService()
}

type StandinInstance = Awaited<
	ReturnType<(typeof standinStarters)[keyof typeof standinStarters]>
>

describe.each(Object.entries(standinStarters))("%s", (_name, start) => {
	let standin: StandinInstance

	beforeEach(async () => {
		standin = await start()
	})

	afterEach(() => standin.close())

	function setFaults(faults: object): Promise<{status: number}> {
		return send("POST", `${standin.url}/control/faults`, faults)
	}

	test("listens on 127.0.0.1 and answers health and control requests", async () => {
		expect(standin.url).toBe(`http://127.0.0.1:${standin.port}`)
		expect((await send("GET", `${standin.url}/healthz`)).status).toBe(200)
		expect((await send("GET", `${standin.url}/nothing`)).status).toBe(404)
		const truth = await send("GET", `${standin.url}/control/truth`)
		expect(truth.body).toEqual(standin.truth())
	})

	test("destroys the sockets of new calls until the outage ends", async () => {
		await setFaults({outage: true})
		await expect(request(`${standin.url}/healthz`)).rejects.toThrow()
		await setFaults({outage: false, delayMs: 1})
		expect((await send("GET", `${standin.url}/healthz`)).status).toBe(200)
	})

	test("destroys a hanging call when an outage starts", async () => {
		await setFaults({hang: true})
		const hanging = request(`${standin.url}/healthz`)
		const cut = expect(hanging).rejects.toThrow()
		await setFaults({outage: true})
		await cut
	})

	test("rejects unknown and malformed faults with 400", async () => {
		expect((await setFaults({other: 1})).status).toBe(400)
		expect((await setFaults({delayMs: -1})).status).toBe(400)
	})
})
