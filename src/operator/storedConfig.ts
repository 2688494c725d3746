/** Reads the accepted configuration, a root and its parts, from the platform. */
import PQueue from "p-queue"
import {
	assembleConfiguration,
	type ConfigParts,
	configPartKind,
	type ConfigPartContent,
	type ConfigRoot,
	configRootKind,
	configRootName,
	type Configuration,
	listPartHashes,
	MissingPartError,
	parsePart,
	parseRoot
} from "../contract/config/index.js"
import {Step} from "../contract/errors.js"
import {absentVersion, type Platform} from "../link/platform.js"

const maxConcurrentReads = 8

/** The stored root and its object version; no root before the first apply. */
export interface StoredRoot {
	version: number
	root: ConfigRoot | undefined
}

/** @throws PlatformError or StoredConfigError */
export async function readRoot(platform: Platform): Promise<StoredRoot> {
	const object = await platform.read(configRootKind, configRootName)
	if (object === undefined) return {version: absentVersion, root: undefined}
	return {version: object.version, root: parseRoot(object.value, "platform")}
}

/**
 * Reads the parts of a root and assembles the configuration. Parts in `known` are
 * not read, since a part's hash determines its content.
 *
 * @throws PlatformError, MissingPartError or StoredConfigError
 */
export async function readConfiguration(
	platform: Platform,
	root: ConfigRoot,
	known: ConfigParts = new Map()
): Promise<Configuration> {
	const parts = new Map(known)
	const missing = listPartHashes(root).filter(hash => !parts.has(hash))
	const queue = new PQueue({concurrency: maxConcurrentReads})
	await queue.addAll(
		missing.map(hash => async () => {
			parts.set(hash, await readPart(platform, hash))
		})
	)
	return assembleConfiguration(root, parts)
}

/** @throws PlatformError, StoredConfigError, or MissingPartError when it is absent */
export async function readPart(
	platform: Platform,
	hash: string
): Promise<ConfigPartContent> {
	const object = await platform.read(configPartKind, hash)
	if (object !== undefined) return parsePart(hash, object.value, "platform")
	const message = `configuration part ${hash} does not exist on the platform`
	throw new MissingPartError(message, {step: Step.Platform, peer: "platform"})
}
