/** Writes the parts of a configuration, which happens before its root is written. */
import PQueue from "p-queue"
import {
	type ConfigPartContent,
	configPartKind,
	type ConfigParts,
	type StoredPart
} from "../contract/config/index.js"
import {Step} from "../contract/errors.js"
import {absentVersion, type Platform, WriteOutcome} from "../link/platform.js"
import {NotAppliedError} from "./applyErrors.js"

const maxConcurrentWrites = 8
/** Leaves most of the platform's write capacity to the running processes. */
const maxPartWritesPerSecond = 100
const msPerSecond = 1000

export interface WritePartsOptions {
	platform: Platform
	now: () => number
	wait: (attempt: number) => Promise<void>
	maxAttempts: number
}

/**
 * Writes parts concurrently, within the write rate above. They need not be named
 * by any root yet.
 *
 * @throws NotAppliedError when a part was not written in `maxAttempts`
 */
export async function writeParts(
	options: WritePartsOptions,
	parts: ConfigParts
): Promise<void> {
	const queue = new PQueue({
		concurrency: maxConcurrentWrites,
		intervalCap: maxPartWritesPerSecond,
		interval: msPerSecond
	})
	await queue.addAll(
		[...parts].map(([hash, part]) => async () => {
			await writePart(options, hash, part)
		})
	)
}

/** Creates a part or, if it exists, renews its `writtenAt` against pruning. */
async function writePart(
	options: WritePartsOptions,
	hash: string,
	part: ConfigPartContent
): Promise<void> {
	const {platform, maxAttempts, wait, now} = options
	const value: StoredPart = {...part, writtenAt: now()}
	let expected = absentVersion
	let detail = ""
	for (let attempt = 1; attempt <= maxAttempts; attempt++) {
		const result = await platform.write(configPartKind, hash, value, expected)
		if (result.outcome === WriteOutcome.Written) return
		detail = result.detail
		if (result.outcome !== WriteOutcome.Conflict) await wait(attempt)
		expected = await readPartVersion(platform, hash)
	}
	const message = `configuration part ${hash} was not written: ${detail}`
	throw new NotAppliedError(message, {step: Step.WriteParts, peer: "platform"})
}

/**
 * Reads the version to expect in the next write. A stored part with this hash has
 * the same content, so only its version is needed. Returns `absentVersion` if the
 * read fails: if the part exists, the next write conflicts and the version is read
 * again.
 */
async function readPartVersion(
	platform: Platform,
	hash: string
): Promise<number> {
	try {
		const object = await platform.read(configPartKind, hash)
		return object?.version ?? absentVersion
	} catch {
		return absentVersion
	}
}
