/** Reads configuration from a peer or from the platform, and answers peers. */
import {create} from "@bufbuild/protobuf"
import {
	type ConfigPartContent,
	configPartKind,
	type ConfigRoot,
	configRootKind,
	configRootName
} from "../contract/config/index.js"
import {Step, StepError} from "../contract/errors.js"
import {
	type ConfigRequest,
	type ConfigResponse,
	ConfigResponseSchema
} from "../contract/gen/link_pb.js"
import type {LinkClient} from "../link/linkClient.js"
import type {Platform} from "../link/platform.js"
import type {ConfigStore, PartMap} from "./configStore.js"

const partsPerRequest = 128

/** Reads the root from the platform, or undefined when there is none. */
export async function readPlatformRoot(
	platform: Platform
): Promise<ConfigRoot | undefined> {
	const object = await platform.read(configRootKind, configRootName)
	return object?.value as ConfigRoot | undefined
}

/** Reads the parts that the store lacks from the platform. */
export async function readPlatformParts(
	platform: Platform,
	hashes: readonly string[]
): Promise<PartMap> {
	const parts: PartMap = new Map()
	for (const hash of hashes) {
		const object = await platform.read(configPartKind, hash)
		if (object === undefined) {
			throw new StepError(`configuration part ${hash} is not stored`, {
				step: Step.Spread
			})
		}
		parts.set(hash, object.value as ConfigPartContent)
	}
	return parts
}

/** What a peer holds; the root only when newer than asked for. */
export interface PeerRoot {
	generation: number
	root: ConfigRoot | undefined
}

/** Reads a peer's root when it is newer than `knownGeneration`. */
export async function readPeerRoot(
	peer: LinkClient,
	knownGeneration: number
): Promise<PeerRoot> {
	const {generation, root} = await peer.config({knownGeneration})
	if (root.length === 0) return {generation, root: undefined}
	return {generation, root: decodeJson(root) as ConfigRoot}
}

/** Reads parts from a peer, some per call to bound the message size. */
export async function readPeerParts(
	peer: LinkClient,
	hashes: readonly string[]
): Promise<PartMap> {
	const parts: PartMap = new Map()
	for (let start = 0; start < hashes.length; start += partsPerRequest) {
		const wanted = hashes.slice(start, start + partsPerRequest)
		const res = await peer.config({parts: wanted})
		for (const part of res.parts) {
			parts.set(part.hash, decodeJson(part.content) as ConfigPartContent)
		}
	}
	return parts
}

/** Answers a peer's request from the store. */
export function answerConfigRequest(
	store: ConfigStore,
	req: ConfigRequest
): ConfigResponse {
	const {root} = store
	const isWanted = req.parts.length === 0
	const isNewer = root !== undefined && root.generation > req.knownGeneration
	return create(ConfigResponseSchema, {
		generation: store.generation,
		root: isWanted && isNewer ? encodeJson(root) : new Uint8Array(),
		parts: req.parts.flatMap(hash => {
			const part = store.part(hash)
			return part === undefined ? [] : [{hash, content: encodeJson(part)}]
		})
	})
}

export function encodeJson(value: unknown): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(value))
}

export function decodeJson(bytes: Uint8Array): unknown {
	return JSON.parse(new TextDecoder().decode(bytes))
}
