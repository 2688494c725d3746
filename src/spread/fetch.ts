/** Fetches configuration from the platform or a peer, and serves it to peers. */
import {create} from "@bufbuild/protobuf"
import PQueue from "p-queue"
import {
	configPartKind,
	type ConfigRoot,
	configRootKind,
	configRootName,
	decodePart,
	decodeRoot,
	encodeStored,
	parsePart,
	parseRoot
} from "../contract/config/index.js"
import {Step, StepError} from "../contract/errors.js"
import {
	type ConfigPart,
	type ConfigRequest,
	type ConfigResponse,
	ConfigResponseSchema
} from "../contract/gen/link_pb.js"
import type {LinkClient} from "../link/linkClient.js"
import type {Platform} from "../link/platform.js"
import type {ConfigStore, PartMap, ReadonlyPartMap} from "./configStore.js"

const maxPartsPerRequest = 128
const maxConcurrentReads = 8

/** Called with each batch of parts, so that a later failure does not lose it. */
export type HandleParts = (parts: ReadonlyPartMap) => void

/** Reads the root from the platform; undefined when none is stored. */
export async function readPlatformRoot(
	platform: Platform
): Promise<ConfigRoot | undefined> {
	const object = await platform.read(configRootKind, configRootName)
	return object === undefined ? undefined : parseRoot(object.value)
}

/**
 * Reads parts from the platform, several concurrently.
 *
 * @throws StepError when the platform does not have a part
 */
export async function readPlatformParts(
	platform: Platform,
	hashes: readonly string[],
	handleParts: HandleParts
): Promise<void> {
	const reads = new PQueue({concurrency: maxConcurrentReads})
	await reads.addAll(
		hashes.map(hash => async () => {
			const object = await platform.read(configPartKind, hash)
			if (object === undefined) {
				const message = `the platform has no configuration part ${hash}`
				throw new StepError(message, {step: Step.Spread})
			}
			handleParts(new Map([[hash, parsePart(hash, object.value)]]))
		})
	)
}

/** A peer's answer to a request for its root. */
export interface PeerRoot {
	/** Generation that the peer has installed. */
	generation: number
	/** Undefined when the peer has no newer root than the one asked about. */
	root: ConfigRoot | undefined
}

/** Reads a peer's root when it is newer than `knownGeneration`. */
export async function readPeerRoot(
	peer: LinkClient,
	knownGeneration: number
): Promise<PeerRoot> {
	const {generation, root} = await peer.config({knownGeneration})
	if (root.length === 0) return {generation, root: undefined}
	return {generation, root: decodeRoot(root, peer.address)}
}

/** Reads parts from a peer, in several calls to bound the message size. */
export async function readPeerParts(
	peer: LinkClient,
	hashes: readonly string[],
	handleParts: HandleParts
): Promise<void> {
	for (let start = 0; start < hashes.length; start += maxPartsPerRequest) {
		const batch = hashes.slice(start, start + maxPartsPerRequest)
		const res = await peer.config({parts: batch})
		handleParts(decodeParts(res.parts, peer.address))
	}
}

/**
 * Decodes parts from a message of `peer`.
 *
 * @throws StoredConfigError when a part is malformed or does not match its hash
 */
export function decodeParts(
	parts: readonly ConfigPart[],
	peer: string
): PartMap {
	return new Map(
		parts.map(({hash, content}) => [hash, decodePart(hash, content, peer)])
	)
}

/**
 * Answers a peer's request: for the root, when it asks for no parts, or for the
 * parts that this process has of those it asks for.
 */
export function answerConfigRequest(
	store: ConfigStore,
	req: ConfigRequest
): ConfigResponse {
	const {root} = store
	const isRootRequest = req.parts.length === 0
	const isNewer = root !== undefined && root.generation > req.knownGeneration
	return create(ConfigResponseSchema, {
		generation: store.generation,
		root: isRootRequest && isNewer ? encodeStored(root) : new Uint8Array(),
		parts: req.parts.flatMap(hash => {
			const part = store.part(hash)
			return part === undefined ? [] : [{hash, content: encodeStored(part)}]
		})
	})
}
