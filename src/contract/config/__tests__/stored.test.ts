import {expect, test} from "vitest"
import {parseConfiguration} from "../parse.js"
import {hashPart, splitIntoParts} from "../parts.js"
import {
	decodePart,
	decodeRoot,
	encodeStored,
	fingerprintRoot,
	parsePart,
	parseRoot,
	StoredConfigError
} from "../stored.js"
import {adaptersFile, settingsFile} from "./files.js"

const configuration = parseConfiguration([settingsFile, adaptersFile(3)])
const {root: content, parts} = splitIntoParts(configuration)
const root = {...content, generation: 1, applies: []}

test("decoding an encoded root or part gives the same value", () => {
	const decoded = decodeRoot(encodeStored(root))
	expect(decoded).toEqual(root)
	expect(fingerprintRoot(decoded)).toBe(fingerprintRoot(root))
	for (const [hash, part] of parts) {
		expect(decodePart(hash, encodeStored(part))).toEqual(part)
	}
})

test("roots with different generations or buckets have different fingerprints", () => {
	const rootFingerprints = [
		fingerprintRoot(root),
		fingerprintRoot({...root, generation: 2}),
		fingerprintRoot({...root, buckets: ["x"]})
	]
	expect(new Set(rootFingerprints).size).toBe(3)
})

test("writtenAt does not change the hash of a part", () => {
	const [[hash = "", part] = []] = parts
	const stored = {adapters: part?.adapters ?? [], writtenAt: 7}
	expect(hashPart(stored)).toBe(hash)
	expect(parsePart(hash, stored)).toEqual(part)
})

test("a part that does not match its hash is rejected", () => {
	const [hash = ""] = parts.keys()
	expect(() => parsePart(hash, {adapters: []}, "e1")).toThrow(StoredConfigError)
})

test.each([null, {}, {...root, generation: 0}, {...root, settings: {}}])(
	"rejects the malformed root %j",
	value => {
		expect(() => parseRoot(value)).toThrow("malformed")
	}
)

test("rejects bytes that are not JSON", () => {
	expect(() => decodeRoot(new Uint8Array([1, 2]))).toThrow("malformed")
})
