/**
 * Facts about endpoints and prompts that hosts pass on to each other. Gateways tell
 * agents; an agent tells its other gateways what is new, and all it knows to a
 * gateway that connects. Each kind merges what arrives in any order, also twice.
 */
import type {GatewayMessage} from "../contract/gen/grants_pb.js"

export type Notice = Extract<
	GatewayMessage["body"],
	{case: "leaving" | "limit" | "crash" | "trial"}
>

export abstract class NoticeKind<T> {
	/**
	 * Merges a notice that `source` noticed or passed on. Returns what other hosts must
	 * hear because of it: the notice itself if it is new, and what is known against it.
	 */
	abstract merge(notice: T, now: number, source: string): Notice[]

	/** All that a host that connects must hear. */
	abstract list(now: number): T[]
}

const noticeCases: ReadonlySet<string | undefined> = new Set<Notice["case"]>([
	"leaving",
	"limit",
	"crash",
	"trial"
])

/** Whether a message between a gateway and an agent is a notice. */
export function isNotice(body: {case: string | undefined}): body is Notice {
	return noticeCases.has(body.case)
}

/** Called with a notice that changed what is known, and with its source. */
export type OnNews<T> = (notice: T, source: string) => void

/** Id of the endpoint that a notice is about, if it is about one. */
export function getNoticeEndpoint({value}: Notice): string | undefined {
	return "endpointId" in value ? value.endpointId : undefined
}

/** By what hosts choose, alike, to whom a notice goes. */
export function getNoticeKey({value}: Notice): string {
	return "endpointId" in value ? value.endpointId : (value.parts[0] ?? "")
}
