import {IncomingMessage, type ServerResponse} from "node:http"
import {Socket} from "node:net"
import {expect, test} from "vitest"
import {Counters} from "../../program/counters.js"
import {LeastLoadedRouter, RetryBudget} from "../../policy/index.js"
import {ConfigStore} from "../../spread/index.js"
import type {BurnTask} from "../burnTask.js"
import type {Fleet} from "../fleet.js"
import {RequestHandler} from "../requestHandler.js"

interface Sent {
	status: number
	body: unknown
}

/** Creates a handler without a configuration; the fleet must not be used. */
function createHandler(): RequestHandler {
	return new RequestHandler({
		entryId: "entry-1",
		failureDomain: "north",
		memberSecret: "",
		store: new ConfigStore(),
		fleet: {} as unknown as Fleet,
		router: new LeastLoadedRouter(),
		budget: () => new RetryBudget(),
		counters: new Counters({statsd: "", role: "entry", hostId: "entry-1"}),
		burn: {} as unknown as BurnTask
	})
}

function createRequest(body: string): IncomingMessage {
	const req = new IncomingMessage(new Socket())
	req.method = "POST"
	req.headers = {"x-member": "club-1", "x-timeout-ms": "1000"}
	req.push(body)
	req.push(null)
	return req
}

function createResponse(sent: Sent): ServerResponse {
	const res = {
		writeHead: (status: number) => {
			sent.status = status
		},
		end: (text: string) => {
			sent.body = JSON.parse(text)
		}
	}
	return res as unknown as ServerResponse
}

const completion = JSON.stringify({model: "loom:a@v1", prompt: "a mirror"})

type Handle = (
	handler: RequestHandler,
	req: IncomingMessage,
	res: ServerResponse
) => Promise<void>

const handles: [string, Handle][] = [
	[
		"completion",
		(h, req, res) => h.generations.handleCompletion(req, res, false)
	],
	[
		"service call",
		(h, req, res) => h.services.handleService(req, res, "/bookings")
	],
	["ticket", (h, req, res) => h.services.handleTicket(req, res, "bookings")]
]

test.each(handles)(
	"a %s is answered with not_configured before a configuration is installed",
	async (_name, handle) => {
		const sent: Sent = {status: 0, body: undefined}
		const req = createRequest(completion)
		await handle(createHandler(), req, createResponse(sent))
		expect(sent).toMatchObject({
			status: 503,
			body: {
				error: {
					outcome: "not_run",
					reason: "not_configured",
					retry_after_ms: 1000
				}
			}
		})
	}
)
