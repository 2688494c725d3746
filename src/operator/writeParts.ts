/** Writes the parts of a configuration before its root. */
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
/** Leaves most of the platform's writes to the processes. */
const maxPartWritesPerSecond = 100
const msPerSecond = 1000

export interface WritePartsOptions {
	platform: Platform
	now: () => number
	wait: (attempt: number) => Promise<void>
	maxAttempts: number
}

/**
 * Writes parts that no root may name yet.
 *
 * @throws NotAppliedError when one could not be written
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

/** Creates a part, or renews the time of one that exists. */
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

/** A part of equal content that exists is kept, so only its version matters. */
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
