/** Reads a completion stream of server-sent events. */

/** The `error` member of an event that ends a stream early. */
export interface StreamError {
	outcome?: string
	reason?: string
	message?: string
}

export interface StreamAnswer {
	text: string
	/** The terminal event arrived. */
	isDone: boolean
	error: StreamError | undefined
	loadStallMs: number
	/** Arrival of each event that carried text. */
	textTimes: number[]
}

interface StreamEvent {
	choices?: {text?: string}[]
	error?: StreamError
	goldcrestloom?: {load_stall_ms?: number}
}

const dataPrefix = "data:"
const terminalData = "[DONE]"

/** Reads until the terminal event, or until the stream ends or breaks. */
export async function readStream(
	body: AsyncIterable<Buffer>,
	now: () => number
): Promise<StreamAnswer> {
	const answer: StreamAnswer = {
		text: "",
		isDone: false,
		error: undefined,
		loadStallMs: 0,
		textTimes: []
	}
	const decoder = new TextDecoder()
	let rest = ""
	try {
		for await (const chunk of body) {
			rest += decoder.decode(chunk, {stream: true})
			const lines = rest.split("\n")
			rest = lines.pop() ?? ""
			for (const line of lines) readLine(answer, line.trim(), now)
		}
	} catch {
		// A broken connection ends the stream; isDone tells whether too early.
	}
	return answer
}

function readLine(answer: StreamAnswer, line: string, now: () => number): void {
	if (!line.startsWith(dataPrefix)) return
	const data = line.slice(dataPrefix.length).trim()
	if (data === terminalData) {
		answer.isDone = true
		return
	}
	const event = JSON.parse(data) as StreamEvent
	if (event.error !== undefined) answer.error = event.error
	answer.loadStallMs += event.goldcrestloom?.load_stall_ms ?? 0
	const text = event.choices?.[0]?.text ?? ""
	if (text === "") return
	answer.text += text
	answer.textTimes.push(now())
}
