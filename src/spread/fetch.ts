/** Reads configuration from a peer or from the platform, and answers peers. */
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

const partsPerRequest = 128
const concurrentReads = 8

/** Takes parts as they arrive, so that a later failure loses none of them. */
export type TakeParts = (parts: ReadonlyPartMap) => void

/** Reads the root from the platform, or undefined when there is none. */
export async function readPlatformRoot(
	platform: Platform
): Promise<ConfigRoot | undefined> {
	const object = await platform.read(configRootKind, configRootName)
	return object === undefined ? undefined : parseRoot(object.value)
}

/** Reads parts from the platform, some at a time. */
export async function readPlatformParts(
	platform: Platform,
	hashes: readonly string[],
	take: TakeParts
): Promise<void> {
	const reads = new PQueue({concurrency: concurrentReads})
	await reads.addAll(
		hashes.map(hash => async () => {
			const object = await platform.read(configPartKind, hash)
			if (object === undefined) {
				const message = `configuration part ${hash} is not stored`
				throw new StepError(message, {step: Step.Spread})
			}
			take(new Map([[hash, parsePart(hash, object.value)]]))
		})
	)
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
	return {generation, root: decodeRoot(root, peer.address)}
}

/** Reads parts from a peer, some per call to bound the message size. */
export async function readPeerParts(
	peer: LinkClient,
	hashes: readonly string[],
	take: TakeParts
): Promise<void> {
	for (let start = 0; start < hashes.length; start += partsPerRequest) {
		const wanted = hashes.slice(start, start + partsPerRequest)
		const res = await peer.config({parts: wanted})
		take(decodeParts(res.parts, peer.address))
	}
}

/** Checks parts that came in a message. */
export function decodeParts(
	parts: readonly ConfigPart[],
	peer: string
): PartMap {
	return new Map(
		parts.map(({hash, content}) => [hash, decodePart(hash, content, peer)])
	)
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
		root: isWanted && isNewer ? encodeStored(root) : new Uint8Array(),
		parts: req.parts.flatMap(hash => {
			const part = store.part(hash)
			return part === undefined ? [] : [{hash, content: encodeStored(part)}]
		})
	})
}
