/**
 * Hands an accepted configuration to the entries, so that a platform outage
 * right after the acceptance cannot hide it.
 */
import {
	type ConfigParts,
	type ConfigRoot,
	encodeStored
} from "../contract/config/index.js"
import {messageOf} from "../utils/common.js"
import type {EntryLink} from "./entryLink.js"

const maxOfferBytes = 4 * 1024 * 1024

/** What became of the offer to one entry. */
export interface HandOver {
	address: string
	/** Generation that the entry answered with; 0 when it failed. */
	generation: number
	/** Empty when the entry took the offer. */
	fault: string
}

interface PartMessage {
	hash: string
	content: Uint8Array
}

/** Offers the root and its new parts to each entry; never rejects. */
export async function offerConfiguration(
	links: readonly EntryLink[],
	root: ConfigRoot,
	parts: ConfigParts,
	token: string
): Promise<HandOver[]> {
	const content = encodeStored(root)
	const batches = batchParts(parts)
	const offers = batches.map(batch => ({
		generation: root.generation,
		root: content,
		parts: batch,
		token
	}))
	return Promise.all(links.map(link => offerAll(link, offers)))
}

async function offerAll(
	link: EntryLink,
	offers: readonly Parameters<EntryLink["offer"]>[0][]
): Promise<HandOver> {
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

/** At least one batch, so that a root without new parts is offered as well. */
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
