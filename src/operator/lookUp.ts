/** Reads the accepted configuration from the platform or, in an outage, an entry. */
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
import type {ProcessLink} from "./processLink.js"
import {readPart, readRoot} from "./storedConfig.js"

/** Neither the platform nor an entry returned the root, or an entry lacks a part. */
export class NoSourceError extends StepError {}

/** The root that was read, and how to read its parts from the same source. */
export interface RootLookup {
	/** Undefined before the first apply, or if the entry has no configuration. */
	root: ConfigRoot | undefined
	/** `platform`, or the address of the entry that answered. */
	source: string
	/** Reads a part from `source`. */
	readPart(hash: string): Promise<ConfigPartContent>
}

/**
 * Reads the root from the platform or, if that fails, from the first entry that
 * answers.
 *
 * @throws NoSourceError with the fault of each source when all fail
 */
export async function lookUpRoot(
	platform: Platform | undefined,
	links: readonly ProcessLink[]
): Promise<RootLookup> {
	const faults: string[] = []
	if (platform !== undefined) {
		try {
			return await lookUpAtPlatform(platform)
		} catch (err) {
			faults.push(`platform: ${messageOf(err)}`)
		}
	}
	for (const link of links) {
		try {
			return await lookUpAtEntry(link)
		} catch (err) {
			faults.push(`entry ${link.address}: ${messageOf(err)}`)
		}
	}
	throw new NoSourceError(faults.join("; "), {step: Step.Platform})
}

/** Finds an adapter by its id; reads only the one part that holds it. */
export async function lookUpAdapter(
	lookup: RootLookup,
	id: string
): Promise<Adapter | undefined> {
	const {root} = lookup
	const hash = root && findPartHash(root, id)
	if (root === undefined || hash === undefined) return undefined
	const part = await lookup.readPart(hash)
	return findAdapter(root, new Map([[hash, part]]), id)
}

async function lookUpAtPlatform(platform: Platform): Promise<RootLookup> {
	const {root} = await readRoot(platform)
	return {
		root,
		source: "platform",
		readPart: hash => readPart(platform, hash)
	}
}

async function lookUpAtEntry(link: ProcessLink): Promise<RootLookup> {
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
			const message = `entry does not hold configuration part ${hash}`
			throw new NoSourceError(message, {step: Step.Spread, peer: address})
		}
	}
}
