/** An entry whose answers a test chooses. */
import {once} from "node:events"
import {
	createServer,
	type IncomingMessage,
	type ServerResponse
} from "node:http"
import type {AddressInfo} from "node:net"

export interface FakeRequest {
	req: IncomingMessage
	res: ServerResponse
	body: string
}

export type FakeHandler = (request: FakeRequest) => void

export interface FakeEntry {
	url: string
	requests: IncomingMessage[]
	close(): Promise<void>
}

export async function startFakeEntry(handler: FakeHandler): Promise<FakeEntry> {
	const requests: IncomingMessage[] = []
	const server = createServer((req, res) => {
		requests.push(req)
		let body = ""
		req.on("data", (chunk: Buffer) => (body += chunk.toString()))
		req.on("end", () => {
			handler({req, res, body})
		})
	})
	server.listen(0, "127.0.0.1")
	await once(server, "listening")
	const {port} = server.address() as AddressInfo
	const close = async (): Promise<void> => {
		server.closeAllConnections()
		server.close()
		await once(server, "close")
	}
	return {url: `http://127.0.0.1:${port}`, requests, close}
}

export function sendEvent(res: ServerResponse, event: object): void {
	res.write(`data: ${JSON.stringify(event)}\n\n`)
}

export function sendText(res: ServerResponse, text: string): void {
	sendEvent(res, {choices: [{text}]})
}

export function sendJson(
	res: ServerResponse,
	status: number,
	body: object
): void {
	res.writeHead(status, {"content-type": "application/json"})
	res.end(JSON.stringify(body))
}
