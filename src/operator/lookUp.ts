/** Reads of the accepted configuration that entries answer in an outage. */
import {
	type Adapter,
	type ConfigPartContent,
	type ConfigRoot,
	decodePart,
	decodeRoot,
	findAdapter,
	findPartHash
} from "../contract/config/index.js"
import {Step, StepError} from "../contract/errors.js"
import type {Platform} from "../link/platform.js"
import {messageOf} from "../utils/common.js"
import type {EntryLink} from "./entryLink.js"
import {readPart, readRoot} from "./storedConfig.js"

/** Neither the platform nor an entry answered. */
export class NoSourceError extends StepError {}

export interface FoundRoot {
	/** Undefined before the first apply. */
	root: ConfigRoot | undefined
	/** `platform`, or the address of the entry that answered. */
	source: string
	readPart(hash: string): Promise<ConfigPartContent>
}

/** Reads the root from the platform, else from the first entry that answers. */
export async function findRoot(
	platform: Platform | undefined,
	links: readonly EntryLink[]
): Promise<FoundRoot> {
	const faults: string[] = []
	if (platform !== undefined) {
		try {
			return await findAtPlatform(platform)
		} catch (err) {
			faults.push(`platform: ${messageOf(err)}`)
		}
	}
	for (const link of links) {
		try {
			return await findAtEntry(link)
		} catch (err) {
			faults.push(`entry ${link.address}: ${messageOf(err)}`)
		}
	}
	throw new NoSourceError(faults.join("; "), {step: Step.Platform})
}

/** Finds an adapter by `base:name`; reads one part. */
export async function lookUpAdapter(
	found: FoundRoot,
	id: string
): Promise<Adapter | undefined> {
	const {root} = found
	const hash = root && findPartHash(root, id)
	if (root === undefined || hash === undefined) return undefined
	const part = await found.readPart(hash)
	return findAdapter(root, new Map([[hash, part]]), id)
}

async function findAtPlatform(platform: Platform): Promise<FoundRoot> {
	const {root} = await readRoot(platform)
	return {
		root,
		source: "platform",
		readPart: hash => readPart(platform, hash)
	}
}

async function findAtEntry(link: EntryLink): Promise<FoundRoot> {
	const {address} = link
	const answer = await link.config({})
	const root = answer.root.length === 0 ? undefined : answer.root
	return {
		root: root && decodeRoot(root, address),
		source: address,
		async readPart(hash) {
			const {parts} = await link.config({parts: [hash]})
			const part = parts.find(entry => entry.hash === hash)
			if (part !== undefined) return decodePart(hash, part.content, address)
			const message = `configuration part ${hash} is missing`
			throw new NoSourceError(message, {step: Step.Spread, peer: address})
		}
	}
}
