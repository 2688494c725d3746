/**
 * Sends an accepted configuration to the entries directly, so that they get it
 * even if the platform fails right after it has accepted the root.
 */
import {
	type ConfigParts,
	type ConfigRoot,
	encodeStored
} from "../contract/config/index.js"
import {messageOf} from "../utils/common.js"
import type {ProcessLink} from "./processLink.js"

/**
 * Maximum size in bytes of the parts in one message; a larger single part goes
 * alone. Each message also carries the root; the links' limit for it is 16 MiB.
 */
const maxOfferBytes = 4 * 1024 * 1024

/** Result of offering the configuration to one entry. */
export interface OfferResult {
	address: string
	/**
	 * Generation that the entry had installed when it sent its last acknowledgement;
	 * may be lower than the offered one while it fetches parts. 0 if a call failed.
	 */
	generation: number
	/** Error of the failed call; empty when the entry acknowledged all messages. */
	fault: string
}

interface PartMessage {
	hash: string
	content: Uint8Array
}

/**
 * Offers the root and its new parts to all entries concurrently. Never rejects:
 * a failure at one entry is in its result and does not affect the others.
 */
export async function offerConfiguration(
	links: readonly ProcessLink[],
	root: ConfigRoot,
	parts: ConfigParts,
	token: string
): Promise<OfferResult[]> {
	const content = encodeStored(root)
	const batches = batchParts(parts)
	const offers = batches.map(batch => ({
		generation: root.generation,
		root: content,
		parts: batch,
		token
	}))
	return Promise.all(links.map(link => sendOffers(link, offers)))
}

/** Sends the messages to one entry in order; stops at the first failure. */
async function sendOffers(
	link: ProcessLink,
	offers: readonly Parameters<ProcessLink["offer"]>[0][]
): Promise<OfferResult> {
	const {address} = link
	let generation = 0
	try {
		for (const offer of offers) {
			const ack = await link.offer(offer)
			generation = ack.generation
		}
		return {address, generation, fault: ""}
	} catch (err) {
		return {address, generation: 0, fault: messageOf(err)}
	}
}

/**
 * Splits the parts into batches of up to `maxOfferBytes`. Returns at least one,
 * if empty, batch, so that a root without new parts is offered as well.
 */
function batchParts(parts: ConfigParts): PartMessage[][] {
	let batch: PartMessage[] = []
	let bytes = 0
	const batches = [batch]
	for (const [hash, part] of parts) {
		const content = encodeStored(part)
		if (bytes > 0 && bytes + content.length > maxOfferBytes) {
			batch = []
			bytes = 0
			batches.push(batch)
		}
		batch.push({hash, content})
		bytes += content.length
	}
	return batches
}
