/** Exchanges whose requests may have run: none may be answered as not run. */
import {EventEmitter} from "node:events"
import {IncomingMessage, type ServerResponse} from "node:http"
import {Socket} from "node:net"
import {describe, expect, it} from "vitest"
import {CallerBuffers} from "../callerBuffers.js"
import {CallerExchange} from "../callerExchange.js"
import {GatewayMetrics} from "../../gatewayMetrics.js"
import type {RequestHead, ResponseHead} from "../../wire.js"

class ScriptedResponse extends EventEmitter {
	status: number | undefined
	destroyed = false

	writeHead(status: number): void {
		this.status = status
	}

	write(): boolean {
		return true
	}

	end(): void {
		this.emit("finish")
	}

	destroy(): void {
		this.destroyed = true
	}

	getHeader(): undefined {
		return undefined
	}
}

function createExchange(): {
	exchange: CallerExchange
	res: ScriptedResponse
	lines: string[]
} {
	const res = new ScriptedResponse()
	const metrics = new GatewayMetrics()
	const now = (): number => 0
	const lines: string[] = []
	const log = {request: (event: string) => lines.push(event)}
	const exchange = new CallerExchange({
		req: new IncomingMessage(new Socket()),
		res: res as unknown as ServerResponse,
		head: {id: "r1"} as RequestHead,
		wire: {encodeRefusal: () => ({})} as never,
		log: log as never,
		metrics,
		callerBuffers: new CallerBuffers({metrics, now}),
		kind: "unsafe",
		arrivedAt: 0,
		getCloseReason: () => undefined,
		now
	})
	return {exchange, res, lines}
}

const refusals: [string, number, (exchange: CallerExchange) => void][] = [
	[
		"a refusal",
		503,
		exchange => {
			exchange.refuse("overloaded", 100, {})
		}
	],
	[
		"a refusal over the quota",
		429,
		exchange => {
			exchange.refuseOverQuota(100, {})
		}
	],
	[
		"a turning away",
		500,
		exchange => {
			exchange.turnAway("prompt crashes engines", {})
		}
	]
]

describe.each(refusals)("%s", (_, status, refuse) => {
	it("is answered as unknown once a call has begun", () => {
		const {exchange, res, lines} = createExchange()
		exchange.runs.tryAddCall()
		refuse(exchange)
		expect(res.status).toBe(502)
		expect(lines).toEqual(["refusal.late", "request.ended"])
	})

	it("stands where each endpoint said that it did not run the request", () => {
		const {exchange, res, lines} = createExchange()
		exchange.runs.tryAddCall()
		exchange.runs.removeCall()
		refuse(exchange)
		expect(res.status).toBe(status)
		expect(lines).toEqual(["request.ended"])
	})

	it("keeps calls from being begun after it", () => {
		const {exchange} = createExchange()
		refuse(exchange)
		expect(exchange.runs.tryAddCall()).toBe(false)
	})

	it("cuts a stream that has begun", () => {
		const {exchange, res} = createExchange()
		const head: Partial<ResponseHead> = {status: 200, headers: []}
		exchange.startStream(head as ResponseHead)
		refuse(exchange)
		expect(res).toMatchObject({status: 200, destroyed: true})
		expect(exchange.isOpen).toBe(false)
	})
})
