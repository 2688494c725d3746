/** HTTP client for the tests of the stand-ins. */
import {once} from "node:events"
import type {Readable} from "node:stream"
import {type Dispatcher, request} from "undici"

export interface Reply {
	status: number
	body: unknown
	headers: Record<string, string | string[] | undefined>
}

export interface StreamEvent {
	model: string
	offset: number
	choices: {text: string; finish_reason: string | null}[]
	usage?: {prompt_tokens: number; completion_tokens: number}
}

/** Sends a call with an optional JSON body and reads the JSON answer. */
export async function send(
	method: Dispatcher.HttpMethod,
	url: string,
	json?: unknown,
	headers: Record<string, string> = {}
): Promise<Reply> {
	const body = json === undefined ? null : JSON.stringify(json)
	const res = await request(url, {method, body, headers})
	return {
		status: res.statusCode,
		headers: res.headers,
		body: await res.body.json()
	}
}

/** Collects the server-sent events of one completion. */
export class StreamReader {
	private received = ""

	constructor(private readonly body: Readable) {
		body.on("data", (chunk: Buffer) => {
			this.received += chunk.toString()
		})
	}

	/** Resolves when the first bytes have arrived. */
	async waitForFirstBytes(): Promise<void> {
		if (this.received === "") await once(this.body, "data")
	}

	/** Resolves at the end of the response; rejects when it is cut. */
	async readAll(): Promise<StreamEvent[]> {
		await once(this.body, "end")
		return this.parseEvents()
	}

	/** Resolves when the connection is cut. */
	async readUntilCut(): Promise<StreamEvent[]> {
		const [err] = (await once(this.body, "error")) as unknown[]
		if (!(err instanceof Error)) throw new Error("stream was not cut")
		return this.parseEvents()
	}

	disconnect(): void {
		this.body.on("error", () => undefined)
		this.body.destroy()
	}

	get isDone(): boolean {
		return this.received.endsWith("data: [DONE]\n\n")
	}

	private parseEvents(): StreamEvent[] {
		const messages = this.received.split("\n\n").slice(0, -1)
		const data = messages.map(message => message.slice("data: ".length))
		return data
			.filter(text => text !== "[DONE]")
			.map(text => JSON.parse(text) as StreamEvent)
	}
}

export function joinText(events: StreamEvent[]): string {
	return events.map(({choices}) => choices[0]?.text ?? "").join("")
}
